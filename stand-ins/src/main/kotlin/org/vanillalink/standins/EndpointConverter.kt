/*
 * Command line conversion of endpoints.
 */
package org.vanillalink.standins

import org.vanillalink.model.Endpoint
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.TypeConversionException

/** Parses `address:port`. */
class EndpointConverter : ITypeConverter<Endpoint> {
    override fun convert(value: String): Endpoint =
        Endpoint.parse(value) ?: throw TypeConversionException("expected address:port, got '$value'")
}
