/*
 * The durable record of one call that may run at most once.
 */
package org.vanillalink.dispatch.record

import com.fasterxml.jackson.annotation.JsonProperty
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.WorkspaceId

/** How far a recorded call is. */
enum class RecordState {
    /** Its owner has sent nothing; anybody may take it over. */
    @JsonProperty("claimed")
    CLAIMED,

    /** Bytes may have reached a target; nobody may take it over. */
    @JsonProperty("sending")
    SENDING,

    /** It ran and its outcome is kept. */
    @JsonProperty("done")
    DONE,

    /** It certainly didn't run; the key is free. The row stays, so that its version never goes back. */
    @JsonProperty("released")
    RELEASED,
}

/** One process of one daemon. */
data class RecordOwner(
    val daemon: DaemonId,
    val boot: BootId,
)

/**
 * A record's content. [writtenAtMilliseconds] (since the epoch, by the writer's clock) serves clean-up and hints only.
 * [outcome] is set where [state] is DONE.
 */
data class DispatchRecord(
    val state: RecordState,
    val owner: RecordOwner,
    val attempt: AttemptId,
    val fingerprint: CallFingerprint,
    val workspace: WorkspaceId,
    val writtenAtMilliseconds: Long,
    val outcome: CallOutcome? = null,
)
