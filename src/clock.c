// Clock: monotonic time and wall-clock time in milliseconds.

#include "boragejunction.h"

#define US_PER_MS 1000.0

BjTime
bj_clock_now (void)
{
  return (double)g_get_monotonic_time () / US_PER_MS;
}

BjTime
bj_clock_wall (void)
{
  return (double)g_get_real_time () / US_PER_MS;
}
