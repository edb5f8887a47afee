/*
 * Compares calls through a daemon with direct calls to the same engine, in the same run and by turns.
 */
package org.vanillalink.measure.overhead

import com.fasterxml.jackson.databind.SerializationFeature
import org.vanillalink.measure.Figure
import org.vanillalink.model.Endpoint
import org.vanillalink.transport.Json
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpClient
import picocli.CommandLine.Command
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.Option
import picocli.CommandLine.TypeConversionException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable

/** Reads `address:port`. */
class EndpointConverter : ITypeConverter<Endpoint> {
    override fun convert(value: String): Endpoint =
        Endpoint.parse(value) ?: throw TypeConversionException("'$value' is not address:port")
}

/** Prints the figures as a table and, with `--json`, writes them to a file. */
@Command(name = "overhead", mixinStandardHelpOptions = true)
class OverheadCommand : Callable<Int> {
    @Option(names = ["--daemon"], required = true, converter = [EndpointConverter::class])
    private lateinit var daemon: Endpoint

    @Option(names = ["--engine"], required = true, converter = [EndpointConverter::class])
    private lateinit var engine: Endpoint

    @Option(names = ["--daemon-process"], required = true, description = ["The daemon's process id."])
    private var daemonProcess: Long = 0

    @Option(names = ["--json"], description = ["Write the figures to this file."])
    private var json: Path? = null

    @Option(names = ["--calls"], description = ["Calls in each round of each way."])
    private var calls: Int = 100

    override fun call(): Int {
        val loops = NettyEventLoops(LOADER_THREADS)
        val loader = StreamLoader(NettyHttpClient(loops))
        val figures = OverheadRun(loader, ProcessUsage(daemonProcess), daemon, engine, calls).run()
        figures.forEach(::print)
        json?.let { Files.write(it, Json.mapper.writer(SerializationFeature.INDENT_OUTPUT).writeValueAsBytes(figures)) }
        loops.close()
        return 0
    }

    private fun print(figure: Figure) {
        val baseline = figure.baseline?.let { "%.3f".format(it) }.orEmpty()
        println("%-62s %12.3f %-16s %12s".format(figure.name, figure.value, figure.unit, baseline))
    }

    private companion object {
        const val LOADER_THREADS = 2
    }
}
