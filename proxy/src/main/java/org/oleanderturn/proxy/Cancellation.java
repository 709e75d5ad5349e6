package org.oleanderturn.proxy;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Says that nobody waits for a request any more.
 *
 * <p>Invariant: an action that was set runs exactly once when the request is cancelled, before or after it was set, unless
 * another action took its place. Thread safe.
 */
public final class Cancellation {

    /** Whether the request is cancelled, and what is to be done when it is. */
    private sealed interface State {

        /** Somebody waits for the request. */
        record Pending(Runnable action) implements State {}

        /** Nobody waits any more. */
        record Cancelled() implements State {}
    }

    private final AtomicReference<State> state = new AtomicReference<>(new State.Pending(() -> {}));

    private Cancellation() {}

    /** Returns a cancellation that has not happened. */
    public static Cancellation create() {
        return new Cancellation();
    }

    /** Cancels the request. */
    public void cancel() {
        if (state.getAndSet(new State.Cancelled()) instanceof State.Pending waiting) {
            waiting.action().run();
        }
    }

    /** Sets what is to be done when the request is cancelled; done at once when it is cancelled already. */
    public void onCancel(Runnable action) {
        Objects.requireNonNull(action, "action is null");
        State before =
                state.getAndUpdate(current -> current instanceof State.Pending ? new State.Pending(action) : current);
        if (before instanceof State.Cancelled) {
            action.run();
        }
    }

    /** Forgets the action. */
    public void clear() {
        state.updateAndGet(current -> current instanceof State.Pending ? new State.Pending(() -> {}) : current);
    }

    /** Returns whether the request is cancelled. */
    public boolean isCancelled() {
        return state.get() instanceof State.Cancelled;
    }
}
