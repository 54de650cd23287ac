/**
 * Distribution of agreements and policies from the platform's store to every
 * node, and changes of these documents by operators.
 *
 * @module
 */

export * from "./document_replica.ts";
