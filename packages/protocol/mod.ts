/**
 * Generated code for the protobuf schemas of the operator RPC, the peer RPC and
 * the peer datagrams, and the names of the HTTP header fields used in calls.
 *
 * @module
 */

export * from "./fields.ts";
export * from "./generated/oleanderdeck/operator/v1/operator_pb.ts";
export * from "./generated/oleanderdeck/peer/v1/peer_pb.ts";
