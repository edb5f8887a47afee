package org.vanillalink.gateway.control

import org.vanillalink.gateway.ports.TargetControl
import org.vanillalink.serving.control.GroupOrder
import org.vanillalink.serving.control.OrderResult
import org.vanillalink.serving.control.ReportResult
import org.vanillalink.serving.targets.TargetEntry
import java.util.concurrent.CompletableFuture

/** Never completes a call. */
internal object UnansweredTargets : TargetControl {
    override fun sendOrder(
        target: TargetEntry,
        order: GroupOrder,
    ) = CompletableFuture<OrderResult>()

    override fun requestReport(target: TargetEntry) = CompletableFuture<ReportResult>()
}
