/*
 * The configuration that the deployment's operator has written.
 */
package org.vanillalink.standins.deployment

internal object SampleConfiguration {
    /** One route to a model of four members, one to a plain service, and one workspace with a key. */
    const val JSON =
        """{"version":1,"routes":[
        {"name":"drafts","host":"grit.example","prefix":"/drafts/","kind":"streaming","timeoutMs":15000,"goalMs":500,
         "gapTargetMs":300,"service":"brief-writer","attempts":2,"resumable":true},
        {"name":"orders","host":"grit.example","prefix":"/orders/","kind":"non_idempotent","timeoutMs":3000,
         "goalMs":100,"service":"dispatch-desk","attempts":2}],
        "services":[{"name":"brief-writer","engine":{"slots":18,"formMs":50,"loadsPerS":4,
         "models":[{"name":"brief","size":4,"share":1.0,"pace":1.0,"loadS":0.5,"warmS":0.1}]}},
         {"name":"dispatch-desk"}],
        "limits":{},"tenants":[{"name":"gritworks","apiKeys":["quickstart-key"]}]}"""
}
