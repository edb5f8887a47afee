/*
 * Sums and means in which later amounts count more.
 */
package org.vanillalink.serving.balancing

import kotlin.math.exp

/** A sum whose amounts decay exponentially; times are in milliseconds. */
internal class DecayingSum(
    private val timeConstantMilliseconds: Double,
) {
    private var sum = 0.0
    private var updatedAt = 0L

    fun add(
        amount: Double,
        now: Long,
    ) {
        sum = value(now) + amount
        updatedAt = now
    }

    fun value(now: Long): Double = sum * exp(-(now - updatedAt) / timeConstantMilliseconds)
}

/** A mean of amounts that decay exponentially; times are in milliseconds. */
internal class DecayingMean(
    timeConstantMilliseconds: Double,
) {
    private val sum = DecayingSum(timeConstantMilliseconds)
    private val count = DecayingSum(timeConstantMilliseconds)

    fun add(
        amount: Double,
        now: Long,
    ) {
        sum.add(amount, now)
        count.add(1.0, now)
    }

    /** The mean, or 0 before the first amount. */
    fun value(now: Long): Double = count.value(now).let { if (it > 0) sum.value(now) / it else 0.0 }
}
