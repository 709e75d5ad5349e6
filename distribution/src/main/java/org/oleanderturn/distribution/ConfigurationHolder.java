package org.oleanderturn.distribution;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.oleanderturn.model.ConfigurationDelta;
import org.oleanderturn.model.ConfigurationFault;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationValidator;
import org.oleanderturn.model.ConfigurationVersion;

/**
 * Holds the current configuration of this node.
 *
 * <p>Invariants: the held version never decreases; the held snapshot is intact and valid; an offer is adopted
 * completely or not at all; what is derived from a snapshot is prepared before the snapshot is held; preparations and
 * listeners are called in the order of the versions. Thread safe: readers get the snapshot without a lock, adoptions are
 * serialized by a lock.
 */
public final class ConfigurationHolder {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final AtomicReference<ConfigurationSnapshot> held = new AtomicReference<>(ConfigurationSnapshot.empty());
    private final List<Consumer<ConfigurationSnapshot>> preparations = new CopyOnWriteArrayList<>();
    private final List<Consumer<ConfigurationSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private final ReentrantLock adoptionLock = new ReentrantLock();
    private final Queue<ConfigurationSnapshot> pendingNotifications = new ArrayDeque<>();
    private boolean isNotifying;
    private long adopted;
    private long rejected;
    private Optional<AdoptionResult.Rejected> lastRejected = Optional.empty();

    private ConfigurationHolder() {}

    /** Returns a holder of the empty configuration, with which a node starts. */
    public static ConfigurationHolder empty() {
        return new ConfigurationHolder();
    }

    // -- queries

    /** Returns the held snapshot; the empty one before the first adoption. */
    public ConfigurationSnapshot held() {
        return held.get();
    }

    /** Returns the held version; zero before the first adoption. */
    public ConfigurationVersion version() {
        return held.get().version();
    }

    /** Returns the held version, the counts of adoptions and rejections, and the last rejection. */
    public AdoptionStatus status() {
        adoptionLock.lock();
        try {
            ConfigurationSnapshot snapshot = held.get();
            return new AdoptionStatus(snapshot.version(), snapshot.digest(), adopted, rejected, lastRejected);
        } finally {
            adoptionLock.unlock();
        }
    }

    // -- commands

    /**
     * Adds a preparation, which is called with each snapshot on the adopting thread before any reader can see that it is
     * held. A snapshot whose preparation throws is not held.
     */
    public void addPreparation(Consumer<ConfigurationSnapshot> preparation) {
        preparations.add(Objects.requireNonNull(preparation, "preparation is null"));
    }

    /**
     * Adds a listener of adopted snapshots. It is called on the adopting thread, in the order of versions, and must not
     * block. Exceptions that it throws are logged.
     */
    public void addListener(Consumer<ConfigurationSnapshot> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener is null"));
    }

    /** Adopts a snapshot if it is newer than the held one, intact and valid. */
    public AdoptionResult adopt(ConfigurationSnapshot offered) {
        Objects.requireNonNull(offered, "offered is null");
        adoptionLock.lock();
        try {
            return evaluate(offered);
        } finally {
            adoptionLock.unlock();
        }
    }

    /** Applies a delta to the held snapshot and adopts the result as {@link #adopt(ConfigurationSnapshot)} does. */
    public AdoptionResult adopt(ConfigurationDelta delta) {
        Objects.requireNonNull(delta, "delta is null");
        adoptionLock.lock();
        try {
            ConfigurationSnapshot current = held.get();
            if (current.version().isAfter(delta.to())) {
                return new AdoptionResult.Older(delta.to(), current.version());
            }
            if (current.version().equals(delta.to()) && current.digest().equals(delta.result())) {
                return new AdoptionResult.AlreadyHeld(current.version());
            }
            return delta.applyTo(current).fold(mismatch -> evaluate(delta, mismatch), this::evaluate);
        } finally {
            adoptionLock.unlock();
        }
    }

    private AdoptionResult evaluate(ConfigurationDelta delta, ConfigurationDelta.Mismatch mismatch) {
        return switch (mismatch) {
            case ConfigurationDelta.Mismatch.OtherBase other -> new AdoptionResult.OtherBase(delta.to(), other.held());
            case ConfigurationDelta.Mismatch.OtherResult other ->
                reject(delta.to(), new AdoptionResult.Rejection.DeltaMismatch(other.expected(), other.reached()));
        };
    }

    private AdoptionResult evaluate(ConfigurationSnapshot offered) {
        ConfigurationSnapshot current = held.get();
        if (current.version().isAfter(offered.version())) {
            return new AdoptionResult.Older(offered.version(), current.version());
        }
        if (!offered.isIntact()) {
            return reject(offered.version(), new AdoptionResult.Rejection.NotIntact(offered.digest()));
        }
        if (offered.version().equals(current.version())) {
            return evaluateSameVersion(current, offered);
        }
        List<ConfigurationFault> faults = ConfigurationValidator.validate(offered.configuration());
        if (!faults.isEmpty()) {
            return reject(offered.version(), new AdoptionResult.Rejection.Invalid(faults));
        }
        preparations.forEach(preparation -> preparation.accept(offered));
        held.set(offered);
        adopted++;
        pendingNotifications.add(offered);
        notifyListeners();
        return new AdoptionResult.Adopted(current.version(), offered.version());
    }

    private AdoptionResult evaluateSameVersion(ConfigurationSnapshot current, ConfigurationSnapshot offered) {
        if (current.digest().equals(offered.digest())) {
            return new AdoptionResult.AlreadyHeld(current.version());
        }
        return reject(offered.version(), new AdoptionResult.Rejection.OtherContent(current.digest(), offered.digest()));
    }

    private AdoptionResult reject(ConfigurationVersion version, AdoptionResult.Rejection rejection) {
        AdoptionResult.Rejected result = new AdoptionResult.Rejected(version, rejection);
        rejected++;
        lastRejected = Optional.of(result);
        return result;
    }

    private void notifyListeners() {
        if (isNotifying) {
            return;
        }
        isNotifying = true;
        try {
            for (ConfigurationSnapshot next = pendingNotifications.poll();
                    next != null;
                    next = pendingNotifications.poll()) {
                notifyListeners(next);
            }
        } finally {
            isNotifying = false;
        }
    }

    private void notifyListeners(ConfigurationSnapshot snapshot) {
        for (Consumer<ConfigurationSnapshot> listener : listeners) {
            try {
                listener.accept(snapshot);
            } catch (RuntimeException cause) {
                log.atSevere().withCause(cause).log("configuration listener failed for version %s", snapshot.version());
            }
        }
    }
}
