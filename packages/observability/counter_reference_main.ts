/**
 * Writes the Markdown reference of the counters to the file named by the first
 * argument, or to the standard output. Run in the root of the repository:
 * `npm run build && node dist/counter_reference.mjs docs/counters.md`.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { renderCounterReference } from "./counter_reference.ts";

const path = process.argv[2];
if (path === undefined) process.stdout.write(renderCounterReference());
else writeFileSync(path, renderCounterReference());
