/*
 * The dependencies that all calls share.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.logs.RequestLogger
import org.vanillalink.gateway.ports.CallProtocol
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.MemoryBudget
import org.vanillalink.transport.ScheduledAction
import java.time.Duration
import kotlin.random.Random

internal class CallContext(
    val state: TrafficState,
    val http: HttpClient,
    val protocol: CallProtocol,
    val requestLogger: RequestLogger,
    val activeCalls: ActiveCalls,
    /** The steady clock in milliseconds. */
    val now: () -> Long,
    val schedule: (Duration, () -> Unit) -> ScheduledAction,
    /** Limits what is held of all responses together. */
    val memory: MemoryBudget = MemoryBudget.unlimited(),
    val waitingCalls: WaitingCalls = WaitingCalls(state, Random(0), now, schedule),
)
