/**
 * Settings in JSON with comments, validated by a schema that reports all
 * issues at once with line and column, and the clock that all packages share.
 *
 * @module
 */

export * from "./clock.ts";
export * from "./validation_issue.ts";
export * from "./field_table.ts";
export * from "./jsonc.ts";
export * from "./node_settings.ts";
export * from "./settings_reference.ts";
export * from "./virtual_clock.ts";
