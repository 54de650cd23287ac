import { afterEach, expect, test } from "vitest";
import { WorkerConnections, type WorkerResult } from "./mod.ts";
import { testAccount } from "./_test_account.ts";
import { RawWorker, TEST_NAMES, testCall } from "./_test_worker.ts";

/** Header fields that fit in 16 KiB, more than Node.js reads by default. */
const MANY_FIELDS = 2_200;

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach((close) => close()));

const fields = Array.from({ length: MANY_FIELDS }, (_, index) => index % 10)
  .map((digit) => `x${digit}:${digit}`);

// Guards against an answer that loses its body, or the identity of its request,
// behind its first 1,000 header fields (MIXED).
test.each([
  ["content-length: 4", "soup"],
  ["transfer-encoding: chunked", "4\r\nsoup\r\n0\r\nx-trailer: t\r\n\r\n"],
])("an answer with many fields has its body: %s", async (length, text) => {
  const worker = new RawWorker(({ requestId, socket }) =>
    socket.write([
      "HTTP/1.1 200 OK",
      ...fields,
      `x-request: ${requestId}`,
      "x-signature: s",
      length,
      "",
      text,
    ].join("\r\n"))
  );
  const connections = new WorkerConnections({
    address: await worker.listen(),
    names: TEST_NAMES,
    account: testAccount(1_000_000),
  });
  cleanups.push(() => {
    connections.close();
    worker.close();
  });
  const result = await new Promise<WorkerResult>((finish) =>
    connections.send(testCall(), finish)
  );
  expect(result).toMatchObject({ kind: "answer", status: 200 });
  if (result.kind !== "answer") return;
  expect(result.body.toString()).toBe("soup");
  const lines = result.headers.flatMap((name, index) =>
    index % 2 === 0 ? [`${name}:${result.headers[index + 1]}`] : []
  );
  expect(lines).toEqual([...fields, "x-signature:s"]);
});
