import { expect, test } from "vitest";
import {
  findRequestLogLines,
  formatTimeline,
} from "./explain_request_command.ts";

const LOG = [
  "  19.36 wa-b-4 level=info time=2026-09-15T17:42:06.366Z request=9d.8f reason=queue_full running=16 event=call_refused",
  "  19.35 wa-c-2 level=info time=2026-09-15T17:42:06.350Z request=9d service=menus worker=wa-a-1 event=request_sent",
  "  19.40 wa-a-4 level=info time=2026-09-15T17:42:06.400Z request=9d.8f service=members reason=queue_full status=503 event=request_refused",
  "  19.54 wa-c-2 level=info time=2026-09-15T17:42:06.543Z request=9d service=menus reason=deadline_exceeded status=504 event=request_refused",
  "  19.55 wa-c-2 level=info time=2026-09-15T17:42:06.550Z request=9dff reason=no_worker event=request_refused",
  '  19.56 wa-c-2 level=info time=2026-09-15T17:42:06.560Z peer=wa-a-1 reason="9d closed" event=link_lost',
].join("\n");

const lines = findRequestLogLines(LOG, { requestId: "9d", source: "node.log" });

test("only lines of a request and of its calls are found", () => {
  expect(lines.map(({ requestId }) => requestId)).toEqual([
    "9d.8f",
    "9d",
    "9d.8f",
    "9d",
  ]);
  expect(lines[0]).toMatchObject({ source: "wa-b-4", event: "call_refused" });
});

test("a timeline is sorted by time and names the failure of the deepest call", () => {
  const timeline = formatTimeline(lines);
  expect(timeline[0]).toContain("wa-c-2  request_sent");
  expect(timeline[1]).toBe(
    "+   16 ms  wa-b-4    call_refused reason=queue_full running=16",
  );
  expect(timeline.at(-1)).toBe(
    "First failure of the deepest call: call_refused at wa-b-4, reason queue_full, call 9d.8f",
  );
});

test("the log file is the source of a line that names no node", () => {
  const [line] = findRequestLogLines(
    "level=info time=2026-09-15T17:42:06.366Z request=9d event=request_sent",
    { requestId: "9d", source: "node.log" },
  );
  expect(line?.source).toBe("node.log");
});

test("a timeline without failures says so", () => {
  const sent = lines.filter(({ event }) => event === "request_sent");
  expect(formatTimeline(sent).at(-1)).toBe("No failure was logged");
});
