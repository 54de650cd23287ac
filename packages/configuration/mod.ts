/**
 * Distributes agreements and policies from the platform's store to every node,
 * and lets operators change these documents.
 *
 * @module
 */

export * from "./document_replica.ts";
export * from "./configuration_replica.ts";
export * from "./configuration_service.ts";
export * from "./document_disseminator.ts";
export * from "./document_peer.ts";
export * from "./document_puller.ts";
export * from "./store_reader_selection.ts";
export * from "./rollout_query.ts";
export * from "./load_configuration.ts";
export * from "./store_contact.ts";
export * from "./store_document_editor.ts";
export * from "./store_reader.ts";
export * from "./stored_document.ts";
