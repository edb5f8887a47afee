/*
 * Feeds events to the daemon's decisions and carries out what they decide. Everything here runs on the control thread,
 * except the calls that bring an event to it.
 */
package org.vanillalink.daemon.control

import org.vanillalink.control.DaemonControl
import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import java.time.Clock
import java.util.concurrent.CompletableFuture

/** Carries out one kind of decision. */
fun interface DecisionExecutor {
    /** Carries out [decision] if it is of this executor's kind. */
    fun execute(decision: DaemonDecision)
}

/** Joins [control] with its surroundings. */
class ControlLoop(
    private val thread: ControlThread,
    private val control: DaemonControl,
    private val clock: Clock,
) {
    private val executors = mutableListOf<DecisionExecutor>()

    /** Adds [executor]; to be called before the first event. */
    fun add(executor: DecisionExecutor) {
        executors.add(executor)
    }

    /** Brings [event] to the control thread, from any thread. */
    fun tell(event: DaemonEvent) = thread.execute { handle(event) }

    /** Handles [event] now; only on the control thread. */
    fun handle(event: DaemonEvent) {
        control.handle(event, clock.instant()).forEach { decision -> executors.forEach { it.execute(decision) } }
    }

    /** Runs [read] on the control thread, for what operators ask. */
    fun <T> ask(read: (DaemonControl) -> T): CompletableFuture<T> {
        val answer = CompletableFuture<T>()
        thread.execute { answer.complete(read(control)) }
        return answer
    }
}
