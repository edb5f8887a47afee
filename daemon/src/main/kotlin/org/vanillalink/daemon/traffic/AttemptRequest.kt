/*
 * The header fields that a target needs to know an attempt by.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.control.AttemptTarget
import org.vanillalink.control.admission.AttemptIds
import org.vanillalink.model.AttemptId
import org.vanillalink.model.RequestId
import org.vanillalink.targets.TargetProtocol
import org.vanillalink.transport.HeaderFields

internal fun attemptId(
    request: RequestId,
    attempt: Int,
) = AttemptIds.create(request, attempt)

internal fun HeaderFields.forAttempt(
    attempt: AttemptId,
    target: AttemptTarget,
): HeaderFields {
    val fields =
        mapOf(
            TargetProtocol.ATTEMPT_HEADER to attempt.value,
            TargetProtocol.BOOT_HEADER to target.boot.value,
            TargetProtocol.GROUP_HEADER to target.group?.value,
            TargetProtocol.GENERATION_HEADER to target.generation?.toString(),
            TargetProtocol.FENCING_HEADER to target.fencingNumber?.toString(),
        )
    return fields.entries.fold(this) { headers, (name, value) ->
        if (value ==
            null
        ) {
            headers
        } else {
            headers.with(name, value)
        }
    }
}
