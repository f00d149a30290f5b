package wingspread.lab.measure;

/**
 * What a run looked like from second to second of its day.
 *
 * @param redials tries that were not the first, in each second
 * @param busy share of the circuits that worked which were busy, at the end of each second
 * @param out set-ups that were out, at the end of each second: what all windows together let go
 */
public record Timeline(double[] redials, double[] busy, double[] out) { }
