/*
 * Orders to targets and questions to them.
 */
package org.vanillalink.gateway.ports

import org.vanillalink.serving.control.GroupOrder
import org.vanillalink.serving.control.OrderResult
import org.vanillalink.serving.control.ReportResult
import org.vanillalink.serving.targets.TargetEntry
import java.util.concurrent.CompletableFuture

/** Talks to targets. Calls complete once, on any thread, and never exceptionally. */
interface TargetControl {
    /** Gives [order] to [target]; only the run that is named by its entry's id carries it out. */
    fun sendOrder(
        target: TargetEntry,
        order: GroupOrder,
    ): CompletableFuture<OrderResult>

    /** Asks [target] what it does, over a connection of its own. */
    fun requestReport(target: TargetEntry): CompletableFuture<ReportResult>
}
