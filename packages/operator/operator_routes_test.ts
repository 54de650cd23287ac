import {
  type Client,
  Code,
  ConnectError,
  createClient,
} from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { afterAll, beforeAll, expect, test } from "vitest";
import { ERROR_KINDS } from "@oleanderdeck/errors";
import {
  ConflictSchema,
  InvalidDocumentSchema,
  OperatorService,
} from "@oleanderdeck/protocol";
import {
  startTestService,
  TEST_TOKENS,
  type TestService,
} from "./_test_service.ts";
import { connectCode, errorKindOf } from "./operator_error.ts";

let service: TestService;

beforeAll(async () => {
  service = await startTestService();
});

afterAll(() => service.close());

function client(token: string): Client<typeof OperatorService> {
  return createClient(
    OperatorService,
    createConnectTransport({
      baseUrl: `http://${service.address}`,
      httpVersion: "2",
      interceptors: [(next) => (request) => {
        request.header.set("authorization", `Bearer ${token}`);
        return next(request);
      }],
    }),
  );
}

async function failure(call: Promise<unknown>): Promise<ConnectError> {
  const outcome = await call.then(
    () => undefined,
    (error) => ConnectError.from(error),
  );
  if (outcome === undefined) throw new Error("The call did not fail");
  return outcome;
}

const name = "agreement/lunchtable";
const content = '{ "organisation": "lunchtable" }';

// Guards against changes that are accepted without a token of the role operator.
test("tokens and roles are checked", async () => {
  const change = { name, content, changeId: "c" };
  const unknown = await failure(client("wrong").status({}));
  expect(errorKindOf(unknown)).toBe("credential_refused");
  expect(unknown.code).toBe(Code.Unauthenticated);
  const viewer = await failure(client(TEST_TOKENS.viewer).apply(change));
  expect(errorKindOf(viewer)).toBe("not_authorised");
  expect(service.editor.documents.size).toBe(0);
  expect(service.lines.at(-1)).toContain("event=operator_rejected");
});

// Guards against the storage of a document that nodes cannot use, and against a
// response that omits some of its faults.
test("an invalid document is rejected with all faults", async () => {
  const operator = client(TEST_TOKENS.operator);
  const error = await failure(operator.apply({
    name,
    content: '{ "organisation": "x", "weigth": 2 }',
    changeId: "c0",
  }));
  expect(errorKindOf(error)).toBe("invalid_document");
  expect(
    error.findDetails(InvalidDocumentSchema)[0]?.faults.map(({ path }) => path),
  ).toEqual(["weigth", "organisation"]);
  expect(service.editor.documents.size).toBe(0);
  const missing = await failure(operator.apply({ name, content }));
  expect(errorKindOf(missing)).toBe("malformed_request");
});

// Guards against an operator whose concurrent change overwrites another one
// without notice.
test("a conflict carries both documents", async () => {
  const operator = client(TEST_TOKENS.operator);
  const first = await operator.apply({ name, content, changeId: "c1" });
  expect(first.document).toMatchObject({
    version: 1n,
    content: '{"organisation":"lunchtable"}',
  });
  const other = '{"organisation":"lunchtable","weight":2}';
  const error = await failure(
    operator.apply({ name, content: other, changeId: "c2" }),
  );
  expect(errorKindOf(error)).toBe("conflict");
  expect(error.findDetails(ConflictSchema)[0]).toMatchObject({
    stored: { version: 1n, changeId: "c1" },
    proposed: { version: 0n, content: other, changeId: "c2" },
  });
  expect(await operator.diff({ name, content: other })).toMatchObject({
    storedVersion: 1n,
    differences: [{ path: "weight", stored: "", proposed: "2" }],
  });
  expect(await operator.getChange({ name, changeId: "c1" }))
    .toMatchObject({ committed: true, version: 1n });
  expect(service.lines.filter((line) => line.includes("operator_change")))
    .toHaveLength(1);
});

// Guards against an explanation that contradicts the decision of the admission.
test("explain checks the policy first and then the admission", async () => {
  const operator = client(TEST_TOKENS.operator);
  const request = { organisation: "lunchtable", service: "menus" };
  expect((await operator.explain({ ...request, organisation: "nobody" })).kind)
    .toBe("no_agreement");
  expect((await operator.explain(request)).kind).toBe("no_such_service");
  const policy = { name: "policy/menus", content: '{"service":"menus"}' };
  await operator.apply({ ...policy, changeId: "c3" });
  const response = await operator.explain({ ...request, method: "POST" });
  expect(response.admitted).toBe(true);
  expect(response.reasons).toEqual([
    "The priority is normal",
    "The request is non-idempotent and may bring a permit",
    "The timeout is 5000 ms",
    "The service is under pressure",
    "32 of 128 shed keys are admitted, the others are rejected as " +
    "shed_low_priority",
  ]);
});

// Guards against values that the fields of the schema cannot hold, such as
// fractions and infinity.
test("status, rollout and drain return their results", async () => {
  const operator = client(TEST_TOKENS.operator);
  expect(await operator.status({})).toMatchObject({
    nodeId: "node-1",
    incarnation: 7n,
    members: [{ state: "alive", workerState: "serving", slots: 40 }],
    services: [{ slots: 10, threshold: 512 }],
    organisations: [{ admitted: 10n, refused: { queue_full: 2n } }],
  });
  expect(await operator.rollout({ name })).toMatchObject({
    storedVersion: 1n,
    counts: [{ version: 1n, nodes: 5 }, { version: 0n, nodes: 1 }],
  });
  await operator.drain({ workerAddress: "127.0.0.1:9100" });
  const unknown = await failure(operator.undrain({ workerAddress: "h:1" }));
  expect(errorKindOf(unknown)).toBe("not_found");
});

// Guards against an error kind whose code name does not exist in connect-es.
test("every error kind has a status code", () => {
  ERROR_KINDS.forEach((kind) => expect(connectCode(kind)).toBeGreaterThan(0));
});
