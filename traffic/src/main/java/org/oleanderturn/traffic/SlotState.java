package org.oleanderturn.traffic;

/**
 * Snapshot of a {@link SlotQueue}. Immutable and thread safe.
 *
 * @param slots requests that the target runs at once
 * @param isOpen whether the target accepts requests
 * @param running requests that hold a slot
 * @param waiting requests that wait for a slot
 * @param averageRunNanoseconds moving average of how long a request holds its slot
 */
public record SlotState(int slots, boolean isOpen, int running, int waiting, double averageRunNanoseconds) {

    /** Returns whether fewer requests run than the target has slots. */
    public boolean isSlotFree() {
        return running < slots;
    }

    SlotState opened(int replacement) {
        return new SlotState(replacement, true, running, waiting, averageRunNanoseconds);
    }

    SlotState closed() {
        return new SlotState(slots, false, running, waiting, averageRunNanoseconds);
    }

    SlotState withSlots(int replacement) {
        return new SlotState(replacement, isOpen, running, waiting, averageRunNanoseconds);
    }

    SlotState withRunning(int replacement) {
        return new SlotState(slots, isOpen, replacement, waiting, averageRunNanoseconds);
    }

    SlotState withWaiting(int replacement) {
        return new SlotState(slots, isOpen, running, replacement, averageRunNanoseconds);
    }

    SlotState withAverage(double replacement) {
        return new SlotState(slots, isOpen, running, waiting, replacement);
    }
}
