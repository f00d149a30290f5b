package wingspread.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import wingspread.control.CallControl.Report;

class LoadReportParserTest {
    @Test
    void readsValuesUnderEitherName() {
        Report report = LoadReportParser.parse("x0:12;circuits:40; queue:3 ;qps:1451.2");
        assertEquals(12, report.free());
        assertEquals(40, report.circuits());
        assertEquals(3, report.backlog());
        assertEquals(1451.2, report.maxRate());
    }

    @Test
    void returnsNaNForInvalidValues() {
        Report report = LoadReportParser.parse("idle:-1;circuits:Infinity;queue:NaN;qps:x;;y");
        for (double value : new double[] {report.free(), report.circuits(), report.backlog(), report.maxRate()}) {
            assertTrue(Double.isNaN(value));
        }
        assertSame(Report.EMPTY, LoadReportParser.parse(""));
    }
}
