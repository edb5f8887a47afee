/*
 * The signals that a daemon's process is sent.
 */
package org.vanillalink.daemon.settings

import sun.misc.Signal
import java.util.concurrent.CountDownLatch

/**
 * Handles signals from its construction on: SIGTERM and SIGINT ask the process to stop, also while it starts, and
 * SIGHUP says that the settings file has changed. Without a handler each of them would end the process at once.
 */
internal class ProcessSignals {
    private val stopRequested = CountDownLatch(1)

    /** Called on the signal's thread when the settings file has changed. */
    @Volatile
    var onSettingsChanged: () -> Unit = {}

    /** Whether the process has been asked to stop. */
    val isStopRequested: Boolean get() = stopRequested.count == 0L

    init {
        Signal.handle(Signal("HUP")) { onSettingsChanged() }
        Signal.handle(Signal("TERM")) { stopRequested.countDown() }
        Signal.handle(Signal("INT")) { stopRequested.countDown() }
    }

    /** Returns once the process has been asked to stop. */
    fun awaitStopRequest() = stopRequested.await()
}
