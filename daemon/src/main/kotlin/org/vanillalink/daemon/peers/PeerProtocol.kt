/*
 * Paths, header fields and bodies of the messages between daemons.
 */
package org.vanillalink.daemon.peers

import org.vanillalink.configuration.SectionChanges
import org.vanillalink.dispatch.record.CallOutcome

/** Names in the peers' interface. */
object PeerProtocol {
    /** A heartbeat. */
    const val HEARTBEAT_PATH = "/peer/heartbeat"

    /** Reports of targets. */
    const val REPORTS_PATH = "/peer/reports"

    /** Sections of the configuration that changed after a revision. */
    const val CONFIGURATION_PATH = "/peer/configuration"

    /** Units of admission. */
    const val ADMISSION_PATH = "/peer/admission"

    /** Permits to run requests that may crash their targets. */
    const val PERMITS_PATH = "/peer/permits"

    /** Requests that ran on a lost target. */
    const val STRIKES_PATH = "/peer/strikes"

    /** Whether a keyed call is in progress. */
    const val DISPATCH_PREFIX = "/peer/dispatch/"

    /** What comes before the path of a request that is passed on to another failure domain. */
    const val FORWARD_PREFIX = "/peer/forward"

    /** The secret that all daemons share. */
    const val SECRET_HEADER = "vanillalink-secret"
}

/** Answer to `POST /peer/reports`. */
data class ReportsAnswer(
    val change: Long,
)

/** Answer to `GET /peer/configuration`; [changes] is null where the daemon has no configuration. */
data class ConfigurationChangesAnswer(
    val changes: SectionChanges?,
    val confirmedAgeMilliseconds: Long?,
)

/** What a daemon says of a keyed call; [boot] is the run of the daemon that answers. */
data class DispatchStatusAnswer(
    val boot: String,
    val status: DispatchStatusKind,
    val fingerprint: String? = null,
    val outcome: CallOutcome? = null,
)

/** The kinds of [DispatchStatusAnswer]. */
enum class DispatchStatusKind { RUNNING, FINISHED, NOT_HERE }
