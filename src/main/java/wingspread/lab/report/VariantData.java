package wingspread.lab.report;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import wingspread.lab.world.Model;

/** Data of all runs of one variant, accumulated for the plots. */
final class VariantData {
    final String name;
    final TimeSeries service = new TimeSeries();
    final TimeSeries redials = new TimeSeries();
    final TimeSeries busy = new TimeSeries();
    final TimeSeries outstanding = new TimeSeries();
    final List<Histogram> delays = new ArrayList<>();

    VariantData(String name) {
        this.name = name;
    }

    void add(Model.Run run) {
        service.add(run.service().bySecond());
        redials.add(run.timeline().redials());
        busy.add(run.timeline().busy());
        outstanding.add(run.timeline().pendingSetUps());
        for (int i = 0; i < run.delays().size(); i++) {
            if (delays.size() <= i) {
                delays.add(new Histogram(run.delays().get(i)));
            }
            delays.get(i).add(run.delays().get(i));
        }
    }
}
