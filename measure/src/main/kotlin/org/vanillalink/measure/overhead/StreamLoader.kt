/*
 * Sends chat completions and notes when each token arrives.
 */
package org.vanillalink.measure.overhead

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import org.vanillalink.model.Endpoint
import org.vanillalink.transport.ConnectionPolicy
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.ResponseListener
import org.vanillalink.transport.SendOptions
import org.vanillalink.transport.ServerSentEventDecoder
import org.vanillalink.transport.TransportFailure
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Times of one load, in microseconds; [whole] counts answers that ended with their marker. */
class LoadTimes {
    /** From sending to the first token. */
    val firstToken: Histogram = ConcurrentHistogram(HIGHEST_MICROSECONDS, DIGITS)

    /** Between two tokens of a stream. */
    val gap: Histogram = ConcurrentHistogram(HIGHEST_MICROSECONDS, DIGITS)

    /** Answers that were whole. */
    val whole = AtomicInteger()

    /** Answers that failed or were refused. */
    val failed = AtomicInteger()

    /** Tokens that arrived. */
    val tokens = AtomicLong()

    private companion object {
        const val HIGHEST_MICROSECONDS = 60_000_000L
        const val DIGITS = 3
    }
}

/** Keeps a number of streams open at once. */
class StreamLoader(
    private val client: HttpClient,
) {
    /** Sends [calls] calls of [tokens] tokens to [endpoint], [atOnce] at a time, and waits for all of them. */
    fun load(
        endpoint: Endpoint,
        calls: Int,
        atOnce: Int,
        tokens: Int,
    ): LoadTimes {
        val times = LoadTimes()
        val left = AtomicInteger(calls)
        val done = CountDownLatch(calls)
        repeat(minOf(atOnce, calls)) { sendNext(endpoint, tokens, left, times, done) }
        done.await()
        return times
    }

    private fun sendNext(
        endpoint: Endpoint,
        tokens: Int,
        left: AtomicInteger,
        times: LoadTimes,
        done: CountDownLatch,
    ) {
        val number = left.getAndDecrement()
        if (number <= 0) return
        val listener =
            TimingListener(times) {
                done.countDown()
                sendNext(endpoint, tokens, left, times, done)
            }
        val options = SendOptions(ConnectionPolicy.REUSE_IDLE)
        listener.sentAt = System.nanoTime()
        client.send(endpoint, message(number, tokens), options, listener)
    }

    private fun message(
        number: Int,
        tokens: Int,
    ): HttpRequestMessage {
        val headers =
            HeaderFields.of(
                "content-type" to "application/json",
                "vanillalink-workspace" to "gritworks",
                "vanillalink-attempt" to "direct-$number-${System.nanoTime()}",
            )
        val body =
            """{"model":"brief-writer","stream":true,"max_tokens":$tokens,""" +
                """"messages":[{"role":"user","content":"Route brief number $number"}]}"""
        return HttpRequestMessage("POST", "/v1/chat/completions", headers, body.encodeToByteArray())
    }

    private class TimingListener(
        private val times: LoadTimes,
        private val ended: () -> Unit,
    ) : ResponseListener {
        var sentAt = 0L
        private val decoder = ServerSentEventDecoder()
        private var lastAt = 0L
        private var marker = false

        override fun onHead(
            status: Int,
            headers: HeaderFields,
        ) = Unit

        override fun onBodyChunk(bytes: ByteArray) {
            val now = System.nanoTime()
            decoder.decode(bytes).forEach { event -> take(event, now) }
        }

        override fun onComplete() {
            if (marker) times.whole.incrementAndGet() else times.failed.incrementAndGet()
            ended()
        }

        override fun onFailure(failure: TransportFailure) {
            times.failed.incrementAndGet()
            ended()
        }

        private fun take(
            event: String,
            now: Long,
        ) {
            if (event == END) {
                marker = true
                return
            }
            times.tokens.incrementAndGet()
            val since = if (lastAt == 0L) sentAt else lastAt
            val histogram = if (lastAt == 0L) times.firstToken else times.gap
            histogram.recordValue((now - since) / NANOSECONDS_PER_MICROSECOND)
            lastAt = now
        }
    }

    private companion object {
        const val END = "[DONE]"
        const val NANOSECONDS_PER_MICROSECOND = 1_000L
    }
}
