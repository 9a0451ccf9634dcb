package org.anvillatch.node.memory;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class MemoryBudgetTest {
    private final MemoryBudget budget = new MemoryBudget(100, 20);
    private final List<String> granted = new ArrayList<>();

    /** Guards against large bodies that take the memory of ordinary requests. */
    @Test
    void largeHoldersLeaveTheReserve() {
        assertThat(budget.tryReserve(81, MemoryBudget.Holder.LARGE)).isFalse();
        assertThat(budget.tryReserve(80, MemoryBudget.Holder.LARGE)).isTrue();
        assertThat(budget.tryReserve(1, MemoryBudget.Holder.LARGE)).isFalse();
        assertThat(budget.tryReserve(20, MemoryBudget.Holder.SMALL)).isTrue();
        assertThat(budget.tryReserve(1, MemoryBudget.Holder.SMALL)).isFalse();
    }

    /** Guards against answers that wait for good, or out of order, or beyond the total. */
    @Test
    void waitersAreGrantedInOrder() {
        assertThat(budget.tryReserve(70, MemoryBudget.Holder.LARGE)).isTrue();
        budget.reserveOrWait(50, () -> granted.add("first"));
        MemoryBudget.Waiter second = budget.reserveOrWait(1, () -> granted.add("second"));
        budget.reserveOrWait(2, () -> granted.add("third"));
        assertThat(budget.tryReserve(1, MemoryBudget.Holder.LARGE)).isFalse();
        assertThat(granted).isEmpty();
        assertThat(second.cancel()).isTrue();
        budget.release(70);
        assertThat(granted).containsExactly("first", "third").inOrder();
        assertThat(budget.reservedBytes()).isEqualTo(52);
        assertThat(second.cancel()).isFalse();
    }

    /** Guards against a waiter that nobody grants because the one before it gave up. */
    @Test
    void cancelledWaiterLetsTheNextOneContinue() {
        assertThat(budget.tryReserve(60, MemoryBudget.Holder.LARGE)).isTrue();
        MemoryBudget.Waiter first = budget.reserveOrWait(50, () -> granted.add("first"));
        budget.reserveOrWait(10, () -> granted.add("second"));
        first.cancel();
        assertThat(granted).containsExactly("second");
    }

    /** Guards against bytes that are released twice, or never because they were added after the close. */
    @Test
    void reservationIsReleasedOnce() {
        Reservation reservation = new Reservation(budget, 0);
        assertThat(reservation.tryGrow(30, MemoryBudget.Holder.SMALL)).isTrue();
        reservation.close();
        reservation.close();
        assertThat(reservation.tryGrow(30, MemoryBudget.Holder.SMALL)).isTrue();
        assertThat(budget.reservedBytes()).isEqualTo(0);
    }

    /** Guards against bytes that are lost or allocated without having been announced for the reservation. */
    @Test
    void segmentsKeepAllBytesWithinTheAnnouncedAllocation() {
        SplittableRandom random = new SplittableRandom(7);
        for (int round = 0; round < 300; round++) {
            int total = 1 + random.nextInt(round % 2 == 0 ? 3_000 : 300_000);
            boolean declared = random.nextBoolean();
            Segments segments = new Segments();
            ByteBuffer source = ByteBuffer.allocate(total);
            random.nextBytes(source.array());
            long allocated = 0;
            while (source.hasRemaining()) {
                int count = Math.min(source.remaining(), 1 + random.nextInt(round % 3 == 0 ? 100_000 : 9_000));
                ByteBuffer piece = source.slice(source.position(), count);
                source.position(source.position() + count);
                long expected = declared ? total - segments.length() : Long.MAX_VALUE / 2;
                allocated += segments.allocationFor(count, expected);
                segments.add(piece, expected);
            }
            ByteBuffer joined = ByteBuffer.allocate(total);
            long held = 0;
            for (ByteBuffer segment : segments.toList()) {
                joined.put(segment);
                held += segment.array().length;
            }
            assertThat(joined.array()).isEqualTo(source.array());
            assertThat(held).isAtMost(allocated);
        }
    }
}
