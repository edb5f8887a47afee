/*
 * Asks the daemon that owns a dispatch record whether the call is in progress there.
 */
package org.vanillalink.daemon.peers

import org.vanillalink.daemon.control.RecordOwners
import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.dispatch.record.OwnerStatus
import org.vanillalink.dispatch.record.RecordId
import org.vanillalink.dispatch.record.RecordOwner
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import java.util.concurrent.CompletableFuture

/** A process that isn't the owner's own says nothing about the record: its predecessor may have sent the call. */
class PeerRecordOwners(
    private val client: PeerClient,
    private val endpointOf: (DaemonId) -> Endpoint?,
) : RecordOwners {
    override fun ask(
        owner: RecordOwner,
        record: RecordId,
    ): CompletableFuture<OwnerStatus> {
        val endpoint =
            endpointOf(owner.daemon) ?: return CompletableFuture.completedFuture(OwnerStatus.Unreachable)
        val path = PeerProtocol.DISPATCH_PREFIX + record
        return client.get(endpoint, path, DispatchStatusAnswer::class.java).thenApply { answer ->
            answer.fold({ OwnerStatus.Unreachable }, { toStatus(owner, it) })
        }
    }

    private fun toStatus(
        owner: RecordOwner,
        answer: DispatchStatusAnswer,
    ): OwnerStatus {
        if (answer.boot != owner.boot.value) return OwnerStatus.Unreachable
        val fingerprint = answer.fingerprint
        val outcome = answer.outcome
        return when (answer.status) {
            DispatchStatusKind.RUNNING -> {
                OwnerStatus.Running
            }

            DispatchStatusKind.NOT_HERE -> {
                OwnerStatus.NotFound
            }

            DispatchStatusKind.FINISHED -> {
                if (fingerprint == null || outcome == null) return OwnerStatus.Unreachable
                OwnerStatus.Finished(CallFingerprint(fingerprint), outcome)
            }
        }
    }
}
