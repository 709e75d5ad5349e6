package org.oleanderturn.command;

import java.util.Optional;
import picocli.CommandLine.IVersionProvider;

/** Reads the program's version from the manifest of its jar; "unpackaged" when it does not run from one. Stateless and
 * thread safe. */
final class ProgramVersion implements IVersionProvider {
    private static final String UNPACKAGED = "unpackaged";

    @Override
    public String[] getVersion() {
        String version = Optional.ofNullable(ProgramVersion.class.getPackage().getImplementationVersion())
                .orElse(UNPACKAGED);
        return new String[] {"oleanderturn " + version};
    }
}
