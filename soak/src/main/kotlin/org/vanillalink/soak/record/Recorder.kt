/*
 * Collects events from all threads.
 */
package org.vanillalink.soak.record

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/** Thread-safe; times are milliseconds since its creation. */
class Recorder(
    private val bounds: Bounds,
    private val modelSizes: Map<String, Int>,
) {
    private val startNanos = System.nanoTime()
    private val calls = ConcurrentLinkedQueue<Call>()
    private val unaskedBytes = ConcurrentLinkedQueue<UnaskedBytes>()
    private val runs = ConcurrentLinkedQueue<Run>()
    private val passages = ConcurrentLinkedQueue<Passage>()
    private val faults = ConcurrentLinkedQueue<InjectedFault>()
    private val daemonEvents = ConcurrentLinkedQueue<DaemonEvent>()
    private val storeEvents = ConcurrentLinkedQueue<StoreEvent>()
    private val groupEvents = ConcurrentLinkedQueue<GroupEvent>()
    private val unreadyAnswers = ConcurrentLinkedQueue<UnreadyAnswer>()

    /** Milliseconds since the start of the run. */
    fun now(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)

    fun add(call: Call) = calls.add(call)

    fun add(bytes: UnaskedBytes) = unaskedBytes.add(bytes)

    fun add(run: Run) = runs.add(run)

    fun add(passage: Passage) = passages.add(passage)

    fun add(fault: InjectedFault) = faults.add(fault)

    fun add(event: DaemonEvent) = daemonEvents.add(event)

    fun add(event: StoreEvent) = storeEvents.add(event)

    fun add(event: GroupEvent) = groupEvents.add(event)

    fun add(answer: UnreadyAnswer) = unreadyAnswers.add(answer)

    /** Returns what has been recorded so far. */
    fun recording() = Recording(
        bounds,
        calls.toList(),
        unaskedBytes.toList(),
        runs.toList(),
        passages.toList(),
        faults.toList(),
        daemonEvents.toList(),
        storeEvents.toList(),
        groupEvents.toList(),
        modelSizes,
        unreadyAnswers.toList(),
    )
}
