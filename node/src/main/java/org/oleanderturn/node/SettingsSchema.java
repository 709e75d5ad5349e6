package org.oleanderturn.node;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The fields of a node's settings, and the check of settings against them.
 *
 * <p>Stateless and thread safe.
 */
final class SettingsSchema {
    private static final SettingsField.ValueFormat SECTION = new SettingsField.ValueFormat.Section();
    private static final SettingsField.ValueFormat NAME = new SettingsField.ValueFormat.Name();
    private static final SettingsField.ValueFormat ADDRESS = new SettingsField.ValueFormat.HostAndPort();
    private static final SettingsField.ValueFormat TIME_SPAN = new SettingsField.ValueFormat.TimeSpan();
    private static final SettingsField.ValueFormat FLAG = new SettingsField.ValueFormat.Flag();
    private static final SettingsField.ValueFormat PATH = new SettingsField.ValueFormat.Path();
    private static final SettingsField.ValueFormat PLACEMENT =
            new SettingsField.ValueFormat.OneOf(Arrays.stream(NodeSettings.Placement.values())
                    .map(NodeSettings.Placement::name)
                    .toList());
    private static final List<SettingsField> FIELDS = List.of(
            SettingsField.required("node", NAME),
            SettingsField.required("region", NAME),
            SettingsField.required("availabilityZone", NAME),
            SettingsField.required("platformRegion", NAME),
            SettingsField.required("listen", SECTION),
            SettingsField.required("listen.caller", ADDRESS),
            SettingsField.required("listen.peer", ADDRESS),
            SettingsField.required("listen.control", ADDRESS),
            SettingsField.required("listen.operator", ADDRESS),
            SettingsField.required("platform", SECTION),
            SettingsField.required("platform.address", ADDRESS),
            SettingsField.required("platform.callsPerSecond", wholeNumber("calls per second", 1, 1_000)),
            SettingsField.required("platform.timeoutMilliseconds", wholeNumber("milliseconds", 10, 60_000)),
            SettingsField.required("target", SECTION),
            SettingsField.required("target.address", ADDRESS),
            SettingsField.required("target.service", NAME),
            SettingsField.required("target.healthPath", PATH),
            SettingsField.required("target.loadPath", PATH),
            SettingsField.required("join", new SettingsField.ValueFormat.AddressList()),
            SettingsField.optional("drainMilliseconds", wholeNumber("milliseconds", 0, 3_600_000)),
            SettingsField.optional("warmupMilliseconds", wholeNumber("milliseconds", 0, 60_000)),
            SettingsField.optional("mesh", SECTION),
            SettingsField.requiredIn("mesh", "targetCalls", ADDRESS),
            SettingsField.requiredIn("mesh", "metrics", ADDRESS),
            SettingsField.requiredIn("mesh", "heartbeat", TIME_SPAN),
            SettingsField.requiredIn("mesh", "stopTime", TIME_SPAN),
            SettingsField.requiredIn("mesh", "repeats", SECTION),
            SettingsField.requiredIn("mesh.repeats", "ratio", decimal("retries per request", 0, 1)),
            SettingsField.requiredIn("mesh.repeats", "floor", decimal("retries per window", 0, 100_000)),
            SettingsField.requiredIn("mesh.repeats", "window", TIME_SPAN),
            SettingsField.optional("mesh.linkMegabitsPerSecond", decimal("megabits per second", 0, 1_000_000)),
            SettingsField.optional("mesh.placement", PLACEMENT),
            SettingsField.optional("mesh.regions", new SettingsField.ValueFormat.NameList()),
            SettingsField.optional("mesh.organisations", SECTION),
            SettingsField.requiredIn("mesh.organisations", "failClosed", FLAG),
            SettingsField.requiredIn("mesh.organisations", "revocation", TIME_SPAN),
            SettingsField.optional("mesh.requestLimits", SECTION),
            SettingsField.requiredIn("mesh.requestLimits", "window", TIME_SPAN),
            SettingsField.requiredIn("mesh.requestLimits", "overage", decimal("share of the limit", 0, 1)),
            SettingsField.requiredIn("mesh.requestLimits", "slack", decimal("requests", 0, 100_000)),
            SettingsField.optional("mesh.rollouts", SECTION),
            SettingsField.requiredIn("mesh.rollouts", "share", decimal("requests per request", 0, 1)),
            SettingsField.requiredIn("mesh.rollouts", "slack", decimal("requests", 0, 1_000_000)),
            SettingsField.requiredIn("mesh.rollouts", "rollback", TIME_SPAN));

    private SettingsSchema() {}

    /** Returns every fault of the settings: first known fields in the order of the schema, then unknown fields. */
    static List<SettingsFault> check(JsonNode root) {
        List<SettingsFault> faults = new ArrayList<>();
        for (SettingsField field : FIELDS) {
            checkField(root, field).ifPresent(faults::add);
        }
        checkUnknown(root, "", faults);
        return List.copyOf(faults);
    }

    private static Optional<SettingsFault> checkField(JsonNode root, SettingsField field) {
        JsonNode value = root;
        for (String step : field.path().split("\\.", -1)) {
            if (!value.isObject()) {
                return Optional.empty();
            }
            value = value.path(step);
        }
        String expected = field.format().describe();
        if (value.isMissingNode()) {
            return field.isRequiredIn(root)
                    ? Optional.of(new SettingsFault.Missing(field.path(), expected))
                    : Optional.empty();
        }
        return field.format().isMatchedBy(value)
                ? Optional.empty()
                : Optional.of(new SettingsFault.Wrong(field.path(), expected, value.toString()));
    }

    private static void checkUnknown(JsonNode object, String prefix, List<SettingsFault> faults) {
        for (Map.Entry<String, JsonNode> entry : object.properties()) {
            String path = prefix + entry.getKey();
            if (FIELDS.stream().noneMatch(field -> field.path().equals(path))) {
                faults.add(new SettingsFault.Unknown(path));
            } else if (entry.getValue().isObject()) {
                checkUnknown(entry.getValue(), path + ".", faults);
            }
        }
    }

    private static SettingsField.ValueFormat decimal(String unit, long lowest, long highest) {
        return new SettingsField.ValueFormat.Decimal(unit, lowest, highest);
    }

    private static SettingsField.ValueFormat wholeNumber(String unit, long lowest, long highest) {
        return new SettingsField.ValueFormat.WholeNumber(unit, lowest, highest);
    }
}
