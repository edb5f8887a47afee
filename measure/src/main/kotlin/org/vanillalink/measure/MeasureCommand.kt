/*
 * The command line of `bin/measure`.
 */
package org.vanillalink.measure

import com.fasterxml.jackson.databind.SerializationFeature
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.io.File
import java.util.concurrent.Callable

/** Runs the measurements that were asked for. */
@Command(
    name = "measure",
    description = ["Runs seeded measurements and prints each figure beside its baseline and its target."],
    mixinStandardHelpOptions = true,
    sortOptions = false,
)
class MeasureCommand : Callable<Int> {
    @Option(
        names = ["--only"],
        split = ",",
        paramLabel = "name",
        description = ["Only these measurements."],
    )
    private var only: List<String> = emptyList()

    @Option(names = ["--seed"], description = ["The seed. Default: \${DEFAULT-VALUE}"], defaultValue = "1")
    private var seed: Long = 1

    @Option(names = ["--long"], description = ["Runs the long forms."])
    private var long: Boolean = false

    @Option(names = ["--json"], paramLabel = "file", description = ["Writes the figures to this file, too."])
    private var json: File? = null

    override fun call(): Int {
        val all = Measurements.all(long)
        val unknown = only - all.map { it.name }.toSet()
        if (unknown.isNotEmpty()) {
            val names = all.joinToString { it.name }
            System.err.println("unknown: ${unknown.joinToString()}; there are: $names")
            return USAGE
        }
        val machine = Machine.here()
        println("machine: ${machine.cores} cores, ${machine.memoryMegabytes} MB, Java ${machine.java}")
        println("seed $seed, ${if (long) "long" else "short"} forms")
        val chosen = all.filter { only.isEmpty() || it.name in only }
        val results = chosen.map { run(it) }
        val report = MeasureReport(machine, seed, long, results)
        json?.let { mapper.writeValue(it, report) }
        return 0
    }

    private fun run(measurement: Measurement): MeasuredFigures {
        val begin = System.nanoTime()
        val figures = measurement.run(seed)
        val seconds = (System.nanoTime() - begin) / NANOSECONDS_PER_SECOND
        val measured = MeasuredFigures(measurement.name, seconds, figures)
        FigureTable.lines(measured).forEach { println(it) }
        return measured
    }

    private companion object {
        const val USAGE = 2
        const val NANOSECONDS_PER_SECOND = 1e9
        val mapper = jacksonObjectMapper().enable(SerializationFeature.INDENT_OUTPUT)
    }
}
