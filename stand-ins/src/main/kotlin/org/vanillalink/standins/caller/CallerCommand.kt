/*
 * Stand-in for a caller: sends one HTTP request and prints the response as it arrives.
 */
package org.vanillalink.standins.caller

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.Callable

/** Sends one request; the exit code is 0 for a status from 200 to 299, else 1. */
@Command(name = "caller", mixinStandardHelpOptions = true)
class CallerCommand : Callable<Int> {
    @Parameters(index = "0", description = ["URL of the request."])
    private lateinit var address: URI

    @Option(names = ["--method"])
    private var method: String = "GET"

    @Option(names = ["--header"], description = ["name=value"])
    private var headers: Map<String, String> = emptyMap()

    @Option(names = ["--body"])
    private var body: String = ""

    @Option(names = ["--print-headers"])
    private var printHeaders: Boolean = false

    override fun call(): Int {
        val request = HttpRequest.newBuilder(address).method(method, HttpRequest.BodyPublishers.ofString(body))
        headers.forEach { (name, value) -> request.header(name, value) }
        val response = HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofLines())
        if (printHeaders) {
            println("status: ${response.statusCode()}")
            response.headers().map().forEach { (name, values) -> println("$name: ${values.joinToString(", ")}") }
        }
        response.body().forEach(::println)
        return if (response.statusCode() in SUCCESS) 0 else 1
    }

    private companion object {
        val SUCCESS = 200..299
    }
}
