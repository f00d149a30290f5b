package wingspread.lab.measure;

/**
 * The course of a run, second by second.
 *
 * @param redials number of redials in each second
 * @param busy share of the circuits in service that were busy at the end of each second
 * @param pendingSetUps pending set-ups at the end of each second, which all windows together admitted
 */
public record Timeline(double[] redials, double[] busy, double[] pendingSetUps) { }
