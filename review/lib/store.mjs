/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
import { createServer } from "node:http";

/** Time that an answer takes, in milliseconds. */
const ANSWER_MS = 4;

export class Store {
  /** How the store answers: `up`, `silent` or `busy` (503, nothing done). */
  mode = "up";
  #record;
  #revision = 10;
  #kinds = new Map();
  #changes = [];
  #waiting = new Set();
  #sockets = new Set();
  #server = createServer((request, response) =>
    void this.#handle(request, response)
  );

  constructor(record) {
    this.#record = record;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  listen(host, port) {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Begins or ends an outage; watches that wait then hear nothing more. */
  setMode(mode) {
    this.#record.line(`store: ${mode}`);
    if (mode !== "up") {
      this.#waiting.forEach((waiting) => waiting.drop());
      this.#waiting.clear();
    }
    if (mode === "up") this.#sockets.forEach((socket) => socket.destroy());
    this.mode = mode;
  }

  /** Writes an object, as the operator does. */
  put(kind, name, spec) {
    const old = this.#kind(kind).get(name);
    const rev = ++this.#revision;
    const object = {
      metadata: {
        name,
        rev,
        created: old?.metadata.created ?? rev,
        finalizers: [],
        deletionPending: false,
      },
      spec,
      status: old?.status ?? null,
    };
    this.#kind(kind).set(name, object);
    this.#changed(kind, object, false);
    return object;
  }

  #kind(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  #changed(kind, object, deleted) {
    this.#changes.push({ kind, revision: this.#revision, object, deleted });
    if (kind !== "config") {
      this.#record.line(
        `store: ${deleted ? "deleted" : "wrote"} ${kind}/` +
          `${object.metadata.name}`,
      );
    }
    [...this.#waiting].forEach((waiting) => waiting.check());
  }

  async #handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const { mode } = this;
    if (mode === "silent") return;
    setTimeout(() => {
      if (mode === "busy") return void response.writeHead(503).end("{}");
      const url = new URL(request.url, "http://store");
      const text = Buffer.concat(chunks).toString();
      const reply = ([status, content]) => {
        if (this.mode === "silent" || response.destroyed) return;
        response.writeHead(status, { "content-type": "application/json" })
          .end(JSON.stringify(content));
      };
      if (request.method === "GET" && url.searchParams.has("watch")) {
        return this.#watch(url, response, reply);
      }
      reply(this.#answer(request.method, url, text));
    }, ANSWER_MS);
  }

  #answer(method, url, text) {
    const [, , kind, name] = url.pathname.split("/").map(decodeURIComponent);
    const body = text === "" ? undefined : JSON.parse(text);
    const objects = this.#kind(kind);
    if (method === "GET" && name === undefined) {
      const after = url.searchParams.get("after") ?? "";
      const items = [...objects.values()]
        .filter(({ metadata }) => metadata.name > after)
        .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
      return [200, { items, more: false, storeRevision: this.#revision }];
    }
    if (method === "POST") {
      const known = objects.get(body.metadata.name);
      return known ? [409, known] : [
        200,
        this.put(
          kind,
          body.metadata.name,
          body.spec,
        ),
      ];
    }
    const known = objects.get(name);
    if (known === undefined) return [404, {}];
    if (method === "GET") return [200, known];
    const rev = body?.metadata?.rev ?? url.searchParams.get("rev");
    if (
      rev !== null && rev !== undefined && Number(rev) !== known.metadata.rev
    ) {
      return [409, known];
    }
    if (method === "PUT") {
      return JSON.stringify(known.spec) === JSON.stringify(body.spec)
        ? [200, known]
        : [200, this.put(kind, name, body.spec)];
    }
    objects.delete(name);
    this.#revision++;
    const deleted = {
      ...known,
      metadata: { ...known.metadata, rev: this.#revision },
    };
    this.#changed(kind, deleted, true);
    return [200, deleted];
  }

  #watch(url, response, reply) {
    const kind = url.pathname.split("/")[2];
    const since = Number(url.searchParams.get("watch"));
    const waitMs = Math.min(30_000, Number(url.searchParams.get("waitMs")));
    const find = () =>
      this.#changes
        .filter((change) => change.kind === kind && change.revision > since)
        .map(({ object, deleted }) => ({ object, deleted }));
    const end = (events) => {
      waiting.drop();
      this.#waiting.delete(waiting);
      reply([200, { events, storeRevision: this.#revision }]);
    };
    const waiting = {
      timer: undefined,
      drop: () => clearTimeout(waiting.timer),
      check: () => {
        const events = find();
        if (events.length > 0) end(events);
      },
    };
    const events = find();
    if (events.length > 0) return end(events);
    waiting.timer = setTimeout(() => end([]), waitMs);
    this.#waiting.add(waiting);
    response.on("close", () => {
      waiting.drop();
      this.#waiting.delete(waiting);
    });
  }
}
