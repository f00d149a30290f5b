package wingspread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FileDescriptorBudgetTest {
    @Test
    void reservesThirdForCallersAndStaysBelowLimitInTotal() {
        for (int limit : new int[] {256, 512, 608, 1_024, 4_096}) {
            FileDescriptorBudget descriptors = new FileDescriptorBudget(limit);
            for (int callers = 0; callers <= limit / 3; callers += 7) {
                int exchanges = descriptors.exchangeLimit(callers);
                assertTrue(exchanges >= limit * 2 / 5, limit + " " + callers);
                assertTrue(callers + exchanges < limit - 53, limit + " " + callers);
                assertTrue(descriptors.callerLimit(exchanges) >= limit / 3);
            }
            for (int exchanges = 0; exchanges < descriptors.exchangeLimit(0); exchanges += 7) {
                assertTrue(descriptors.callerLimit(exchanges) + exchanges < limit - 53, limit + " " + exchanges);
            }
        }
    }

    @Test
    void grantsCallersWhatExchangesDoNotUse() {
        assertEquals(614, new FileDescriptorBudget(1_024).callerLimit(36));
        assertEquals(341, new FileDescriptorBudget(1_024).callerLimit(1_000));
    }
}
