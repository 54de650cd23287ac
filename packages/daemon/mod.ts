/**
 * The `oleanderdeckd` process: starts a node, connects the parts from the other
 * packages, and shuts the node down gracefully.
 *
 * @module
 */

export * from "./node.ts";
