/*
 * Answers of targets whose status says something else to a caller than to this daemon: between it and a target only an
 * explicit statement says that a request was not executed; to callers some statuses promise that by themselves.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.model.RefusalReason

/**
 * Refuses this call if [status], with which a target has answered after it may have executed the request, would promise
 * the caller the contrary: the caller would send the request once more. Returns whether it did. A request that may be
 * repeated keeps its target's answer.
 */
internal fun ProxiedCall.refuseFalsePromise(status: Int): Boolean {
    if (request.route.isRepeatable || !context.protocol.promisesNotRun(status)) return false
    context.requestLogger.countFalsePromise(status)
    attempts.trail.append("!$status-after-run")
    refuse(RefusalReason.OUTCOME_UNKNOWN, "the target answered $status and did not state that it had not run it")
    return true
}
