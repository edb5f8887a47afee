/*
 * The durable record of one call that may run at most once.
 */
package org.vanillalink.dispatch.record

import com.fasterxml.jackson.annotation.JsonProperty
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.WorkspaceId

/** State of a recorded call. */
enum class RecordState {
    /** Its owner has sent nothing; another daemon may take it over. */
    @JsonProperty("claimed")
    CLAIMED,

    /** Bytes may have reached a target; no other daemon may take it over. */
    @JsonProperty("sending")
    SENDING,

    /** It ran and its outcome is recorded. */
    @JsonProperty("done")
    DONE,

    /** It certainly didn't run, and the key is free. The row is kept so that its version never decreases. */
    @JsonProperty("released")
    RELEASED,
}

/** One process of one daemon. */
data class RecordOwner(
    val daemon: DaemonId,
    val boot: BootId,
)

/**
 * Content of a record. [writtenAtMilliseconds] (since the epoch, by the writer's clock) is used only for clean-up and
 * for the Retry-After of refusals. [outcome] is set if [state] is DONE.
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
