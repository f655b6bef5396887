// Plot: panels of line charts as plain SVG. Panels in a row share the y axis.

#include "bjbench.h"
#include <stdio.h>

#define PANEL_WIDTH 360
#define PANEL_HEIGHT 150
#define MARGIN_LEFT 60
#define MARGIN_TOP 50
#define GAP 40
#define TICKS 4

static const char *const colours[PLOT_LINES_MAX] = { "#1b6ca8", "#c0392b", "#7d8c3a", "#8e5ea2" };

static void draw_panel (GString *out, const PlotPanel *p, double x, double y, double axis_max);
static void draw_axes (GString *out, const PlotPanel *p, double x, double y, double axis_max);
static void
draw_line (GString *out, const PlotPanel *p, int line, double x, double y, double axis_max);
static double find_highest_value (const PlotPanel *p);

bool
plot_write (const char *path, const char *title, const PlotPanel *panels, int columns, int rows)
{
  GString *out = g_string_new (NULL);
  int width = MARGIN_LEFT + columns * (PANEL_WIDTH + GAP);
  int height = MARGIN_TOP + rows * (PANEL_HEIGHT + GAP) + GAP;
  bool is_written;

  g_string_append_printf (out,
                          "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
                          "font-family=\"sans-serif\" font-size=\"11\">\n"
                          "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n"
                          "<text x=\"%d\" y=\"20\" font-size=\"14\">%s</text>\n",
                          width,
                          height,
                          MARGIN_LEFT,
                          title);
  for (int r = 0; r < rows; r++)
    {
      double axis_max = 0;

      for (int c = 0; c < columns; c++)
        axis_max = MAX (axis_max,
                        panels[r * columns + c].axis_max > 0
                            ? panels[r * columns + c].axis_max
                            : find_highest_value (&panels[r * columns + c]));
      for (int c = 0; c < columns; c++)
        draw_panel (out,
                    &panels[r * columns + c],
                    MARGIN_LEFT + c * (PANEL_WIDTH + GAP),
                    MARGIN_TOP + r * (PANEL_HEIGHT + GAP),
                    MAX (axis_max, 1e-9));
    }
  for (int i = 0; i < panels[0].n_lines; i++)
    g_string_append_printf (out,
                            "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n",
                            MARGIN_LEFT + i * 120,
                            height - GAP / 2,
                            colours[i],
                            panels[0].line_names[i]);
  g_string_append (out, "</svg>\n");
  is_written = g_file_set_contents (path, out->str, (gssize)out->len, NULL);
  g_string_free (out, TRUE);
  return is_written;
}

static void
draw_panel (GString *out, const PlotPanel *p, double x, double y, double axis_max)
{
  g_string_append_printf (out, "<text x=\"%.0f\" y=\"%.0f\">%s</text>\n", x, y - 6, p->title);
  draw_axes (out, p, x, y, axis_max);
  for (int i = 0; i < p->n_lines; i++)
    draw_line (out, p, i, x, y, axis_max);
}

static void
draw_axes (GString *out, const PlotPanel *p, double x, double y, double axis_max)
{
  double end_s = p->n_bins * p->bin_ms / 1000;

  g_string_append_printf (out,
                          "<rect x=\"%.0f\" y=\"%.0f\" width=\"%d\" height=\"%d\" fill=\"none\" "
                          "stroke=\"#999\"/>\n",
                          x,
                          y,
                          PANEL_WIDTH,
                          PANEL_HEIGHT);
  for (int i = 0; i <= TICKS; i++)
    {
      g_string_append_printf (
          out,
          "<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"end\" fill=\"#555\">%.4g</text>\n",
          x - 4,
          y + PANEL_HEIGHT * (1 - i / (double)TICKS) + 4,
          axis_max * i / TICKS);
      g_string_append_printf (
          out,
          "<text x=\"%.0f\" y=\"%d\" text-anchor=\"middle\" fill=\"#555\">%.0f s</text>\n",
          x + PANEL_WIDTH * i / (double)TICKS,
          (int)y + PANEL_HEIGHT + 14,
          end_s * i / TICKS);
    }
}

static void
draw_line (GString *out, const PlotPanel *p, int line, double x, double y, double axis_max)
{
  g_string_append_printf (
      out, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.3\" points=\"", colours[line]);
  for (int b = 0; b < p->n_bins; b++)
    g_string_append_printf (out,
                            "%.1f,%.1f ",
                            x + PANEL_WIDTH * (b + 0.5) / p->n_bins,
                            y + PANEL_HEIGHT * (1 - MIN (1, p->values[b][line] / axis_max)));
  g_string_append (out, "\"/>\n");
}

static double
find_highest_value (const PlotPanel *p)
{
  double highest = 0;

  for (int b = 0; b < p->n_bins; b++)
    for (int i = 0; i < p->n_lines; i++)
      highest = MAX (highest, p->values[b][i]);
  return highest;
}
