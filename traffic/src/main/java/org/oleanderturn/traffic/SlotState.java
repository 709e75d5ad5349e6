package org.oleanderturn.traffic;

/**
 * What a {@link SlotQueue} holds at one moment.
 *
 * <p>Immutable and thread safe.
 *
 * @param slots requests that the target runs at once
 * @param isOpen whether the target takes work
 * @param running requests that hold a slot
 * @param waiting requests that wait for one
 * @param averageRunNanoseconds how long a request holds its slot, on the average
 */
public record SlotState(int slots, boolean isOpen, int running, int waiting, double averageRunNanoseconds) {

    /** Returns whether a request can run at once. */
    public boolean isSlotFree() {
        return running < slots;
    }

    SlotState opened(int nextSlots) {
        return new SlotState(nextSlots, true, running, waiting, averageRunNanoseconds);
    }

    SlotState closed() {
        return new SlotState(slots, false, running, waiting, averageRunNanoseconds);
    }

    SlotState withRunning(int next) {
        return new SlotState(slots, isOpen, next, waiting, averageRunNanoseconds);
    }

    SlotState withWaiting(int next) {
        return new SlotState(slots, isOpen, running, next, averageRunNanoseconds);
    }

    SlotState withAverage(double next) {
        return new SlotState(slots, isOpen, running, waiting, next);
    }
}
