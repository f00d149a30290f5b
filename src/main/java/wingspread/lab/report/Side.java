package wingspread.lab.report;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import wingspread.lab.world.Model;

/** What the plots need of all runs of one variant. */
final class Side {
    final String name;
    final Band service = new Band();
    final Band redials = new Band();
    final Band busy = new Band();
    final Band out = new Band();
    final List<Histogram> delays = new ArrayList<>();

    Side(String name) {
        this.name = name;
    }

    void add(Model.Run run) {
        service.add(run.service().bySecond());
        redials.add(run.timeline().redials());
        busy.add(run.timeline().busy());
        out.add(run.timeline().out());
        for (int i = 0; i < run.delays().size(); i++) {
            if (delays.size() <= i) {
                delays.add(new Histogram(run.delays().get(i)));
            }
            delays.get(i).add(run.delays().get(i));
        }
    }
}
