package org.oleanderturn.proxy;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

/**
 * Signals that the caller of a request no longer waits for the response.
 *
 * <p>Invariant: an action runs exactly once if the request is cancelled, whether the action was set before or after the
 * cancellation, unless another action has replaced it. Thread safe.
 */
public final class Cancellation {

    /** Whether the request has been cancelled. */
    private sealed interface State {

        /** The request has not been cancelled; the action runs if it is. */
        record Pending(Runnable action) implements State {}

        /** The request has been cancelled. */
        record Cancelled() implements State {}
    }

    private final AtomicReference<State> state = new AtomicReference<>(new State.Pending(() -> {}));

    private final BooleanSupplier hasCallerLeft;

    private Cancellation(BooleanSupplier hasCallerLeft) {
        this.hasCallerLeft = hasCallerLeft;
    }

    /** Returns a cancellation that has not been triggered. */
    public static Cancellation create() {
        return new Cancellation(() -> false);
    }

    /** Returns a cancellation that has not been triggered; {@link #check} asks whether the caller has left. */
    public static Cancellation create(BooleanSupplier hasCallerLeft) {
        return new Cancellation(Objects.requireNonNull(hasCallerLeft, "hasCallerLeft is null"));
    }

    /** Asks whether the caller has left, and cancels the request if so; to be called before work is begun for it. */
    public void check() {
        if (!isCancelled() && hasCallerLeft.getAsBoolean()) {
            cancel();
        }
    }

    /** Cancels the request and runs the current action; later calls have no effect. */
    public void cancel() {
        if (state.getAndSet(new State.Cancelled()) instanceof State.Pending waiting) {
            waiting.action().run();
        }
    }

    /** Sets the action to run on cancellation; runs it immediately if the request has already been cancelled. */
    public void onCancel(Runnable action) {
        Objects.requireNonNull(action, "action is null");
        State before =
                state.getAndUpdate(current -> current instanceof State.Pending ? new State.Pending(action) : current);
        if (before instanceof State.Cancelled) {
            action.run();
        }
    }

    /** Removes the action. */
    public void clear() {
        state.updateAndGet(current -> current instanceof State.Pending ? new State.Pending(() -> {}) : current);
    }

    /** Returns whether {@link #cancel} has been called. */
    public boolean isCancelled() {
        return state.get() instanceof State.Cancelled;
    }
}
