package redwingcross.request

import kotlinx.serialization.Serializable

/** Identifies one request of a caller; unique across gateways and process restarts. */
@Serializable
@JvmInline
value class RequestId(val value: String) {
    override fun toString(): String = value
}

/** Identifies one try to serve a request at one back end; back ends echo it in their answers. */
@Serializable
@JvmInline
value class AttemptId(val value: String) {
    override fun toString(): String = value
}

/** Canonical name of a customer. */
@Serializable
@JvmInline
value class Customer(val value: String) {
    override fun toString(): String = value
}

/** Key chosen by a caller; requests of one customer with the same key run at most once. */
@Serializable
@JvmInline
value class IdempotencyKey(val value: String) {
    override fun toString(): String = value
}

/** Canonical name of a VM. */
@Serializable
@JvmInline
value class Vm(val value: String) {
    override fun toString(): String = value
}

/** Canonical name of an availability zone. */
@Serializable
@JvmInline
value class AvailabilityZone(val value: String) {
    override fun toString(): String = value
}

/** Canonical name of a process that accepts work: a model engine or a plain service instance. */
@Serializable
@JvmInline
value class BackendServer(val value: String) {
    override fun toString(): String = value
}

/** Identifies a serving group: the VMs that together hold one replica of a model. */
@Serializable
@JvmInline
value class GroupId(val value: String) {
    override fun toString(): String = value
}

/** Canonical name of a service that callers address: a model name or a plain service name. */
@Serializable
@JvmInline
value class ServiceName(val value: String) {
    override fun toString(): String = value
}

/** Name of a gateway or controller process; a replacement of its VM keeps the name. */
@Serializable
@JvmInline
value class ProcessName(val value: String) {
    override fun toString(): String = value
}

/** Name of a model as callers and engines spell it. */
@Serializable
@JvmInline
value class ModelName(val value: String) {
    override fun toString(): String = value
}
