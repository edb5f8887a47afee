/*
 * Orders to targets and requests for their reports.
 */
package org.vanillalink.gateway.ports

import org.vanillalink.serving.control.GroupOrder
import org.vanillalink.serving.control.OrderResult
import org.vanillalink.serving.control.ReportResult
import org.vanillalink.serving.targets.TargetEntry
import java.util.concurrent.CompletableFuture

/** A client for targets. Futures complete once, on any thread, and never exceptionally. */
interface TargetControl {
    /** Sends [order] to [target]; only the instance named by the id of its entry executes it. */
    fun sendOrder(
        target: TargetEntry,
        order: GroupOrder,
    ): CompletableFuture<OrderResult>

    /** Requests the status report of [target], over a separate connection. */
    fun requestReport(target: TargetEntry): CompletableFuture<ReportResult>
}
