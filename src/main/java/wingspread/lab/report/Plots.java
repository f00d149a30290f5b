package wingspread.lab.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.CategorySeries;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;
import wingspread.lab.compare.Comparison;
import wingspread.lab.compare.Interval;

/** Renders the charts of a report as data URLs. */
final class Plots {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 320;
    private static final int BAND_ALPHA = 140;
    private static final Color[] COLOURS = {new Color(0x1f, 0x5f, 0xa8), new Color(0xc0, 0x50, 0x1f)};
    private static final double[] PERCENTILES = IntStream.rangeClosed(1, 199).mapToDouble(i -> i / 2.0).toArray();

    private Plots() { }

    private static XYChart chart(String title, String x, String y) {
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(title).xAxisTitle(x).yAxisTitle(y)
                .build();
        chart.getStyler().setChartBackgroundColor(Color.WHITE).setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setPlotGridLinesColor(new Color(0xdd, 0xdd, 0xdd));
        return chart;
    }

    /** Returns a chart of a time series of each variant, with its confidence band. */
    static String overTime(String title, String unit, List<VariantData> variants,
            Function<VariantData, TimeSeries> seriesOf) throws IOException {
        XYChart chart = chart(title, "seconds of the day", unit);
        for (int i = 0; i < variants.size(); i++) {
            TimeSeries band = seriesOf.apply(variants.get(i));
            int[] seconds = IntStream.range(0, band.length())
                    .filter(s -> !Double.isNaN(band.at(s).mean())).toArray();
            double[] x = IntStream.of(seconds).asDoubleStream().toArray();
            List<Interval> at = IntStream.of(seconds).mapToObj(band::at).toList();
            addLine(chart, "%s %s".formatted("AB".substring(i, i + 1), "mean"), x,
                    at.stream().mapToDouble(Interval::mean).toArray(), COLOURS[i], 2);
            Color faint = new Color(COLOURS[i].getRed(), COLOURS[i].getGreen(), COLOURS[i].getBlue(), BAND_ALPHA);
            addLine(chart, "AB".charAt(i) + " 95% low", x, at.stream().mapToDouble(Interval::low).toArray(), faint, 1);
            addLine(chart, "AB".charAt(i) + " 95% high", x, at.stream().mapToDouble(Interval::high).toArray(), faint,
                    1);
        }
        return dataUrl(chart);
    }

    private static void addLine(XYChart chart, String name, double[] x, double[] y, Color colour, float width) {
        if (x.length == 0) {
            return;
        }
        XYSeries series = chart.addSeries(name, x, y);
        series.setMarker(SeriesMarkers.NONE).setLineColor(colour).setLineStyle(new BasicStroke(width));
    }

    /** Returns a chart of the set-up delays of one class: the share of calls established within a given time. */
    static String delays(String title, List<VariantData> variants, int callClass) throws IOException {
        XYChart chart = chart(title, "milliseconds since the fresh call", "% of calls established");
        chart.getStyler().setXAxisLogarithmic(true).setYAxisMin(0.0).setYAxisMax(100.0).setYAxisDecimalPattern("0");
        for (int i = 0; i < variants.size(); i++) {
            Histogram histogram = variants.get(i).delays.get(callClass);
            double[] delay = IntStream.range(0, PERCENTILES.length)
                    .mapToDouble(p -> Math.max(1, histogram.getValueAtPercentile(PERCENTILES[p]) / 1e3)).toArray();
            addLine(chart, "AB".substring(i, i + 1), delay, PERCENTILES, COLOURS[i], 2);
        }
        return dataUrl(chart);
    }

    /** Returns a chart of the differences of all parts, with their intervals. */
    static String differences(Comparison comparison) throws IOException {
        List<Comparison.Part> parts = new ArrayList<>(comparison.parts());
        parts.add(0, new Comparison.Part("service", comparison.meanA(), comparison.meanB(), comparison.service()));
        CategoryChart chart = new CategoryChartBuilder().width(WIDTH).height(HEIGHT)
                .title("Difference, B less A, with its interval").yAxisTitle("share of value").build();
        chart.getStyler().setDefaultSeriesRenderStyle(CategorySeries.CategorySeriesRenderStyle.Scatter);
        chart.getStyler().setChartBackgroundColor(Color.WHITE).setLegendVisible(false);
        chart.getStyler().setXAxisLabelRotation(20);
        chart.addSeries("B less A", parts.stream().map(Comparison.Part::name).toList(),
                parts.stream().map(p -> p.difference().mean()).toList(),
                parts.stream().map(p -> p.difference().half()).toList())
                .setMarker(SeriesMarkers.CIRCLE).setMarkerColor(COLOURS[0]);
        return dataUrl(chart);
    }

    private static String dataUrl(Chart<?, ?> chart) throws IOException {
        return "data:image/png;base64," + Base64.getEncoder().encodeToString(
                BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
    }
}
