/**
 * Writes the Markdown reference of the node's settings to the file named by the
 * first argument, or to the standard output. Run in the root of the repository:
 * `npm run build && node dist/settings_reference.mjs docs/settings.md`.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { renderSettingsReference } from "./settings_reference.ts";

const path = process.argv[2];
if (path === undefined) process.stdout.write(renderSettingsReference());
else writeFileSync(path, renderSettingsReference());
