// Stand-in of the platform's store: objects by kind and name, one revision
// counter, watches. It loses nothing that it has acknowledged.
import { createServer } from "node:http";

export class Store {
  #kinds = new Map();
  #changes = [];
  #revision = 1;
  #waiting = [];
  #server;
  /** Whether nothing is answered; what arrives meanwhile is not done. */
  isSilent = false;

  constructor() {
    this.#server = createServer((request, response) =>
      this.#handle(request, response)
    );
    this.#server.keepAliveTimeout = 60_000;
  }

  listen(host, port) {
    return new Promise((resolve) => this.#server.listen(port, host, resolve));
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  put(kind, name, spec) {
    const object = {
      metadata: { name, rev: ++this.#revision, created: 1, finalizers: [] },
      spec,
      status: null,
    };
    this.#kind(kind).set(name, object);
    this.#record(kind, object, false);
    return object;
  }

  get(kind, name) {
    return this.#kind(kind).get(name);
  }

  #kind(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  #record(kind, object, deleted) {
    this.#changes.push({ kind, revision: this.#revision, object, deleted });
    this.#waiting.splice(0).forEach((resume) => resume());
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.isSilent) return;
    const text = Buffer.concat(chunks).toString();
    const [status, content] = await this.#answer(request, text);
    const body = JSON.stringify(content);
    if (response.destroyed || this.isSilent) return;
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(body),
    }).end(body);
  }

  async #answer(request, text) {
    const url = new URL(request.url, "http://store");
    const [, , kind = "", name = ""] = url.pathname.split("/");
    const body = text === "" ? {} : JSON.parse(text);
    const known = this.#kind(kind).get(name);
    if (request.method === "GET") {
      if (name === "") return await this.#read(kind, url.searchParams);
      return known === undefined ? [404, {}] : [200, known];
    }
    if (request.method === "POST") {
      const { name: created } = body.metadata;
      const other = this.#kind(kind).get(created);
      if (other !== undefined) return [409, other];
      return [200, this.put(kind, created, body.spec)];
    }
    if (known === undefined) return [404, {}];
    const rev = body.metadata?.rev ?? url.searchParams.get("rev");
    const isStale = rev !== undefined && rev !== null &&
      Number(rev) !== known.metadata.rev;
    if (isStale) return [409, known];
    if (request.method === "PUT") return [200, this.put(kind, name, body.spec)];
    this.#kind(kind).delete(name);
    this.#revision++;
    this.#record(kind, known, true);
    return [200, known];
  }

  async #read(kind, query) {
    const watched = query.get("watch");
    if (watched === null) {
      return [200, {
        items: [...this.#kind(kind).values()],
        more: false,
        storeRevision: this.#revision,
      }];
    }
    const until = performance.now() + Number(query.get("waitMs") ?? 0);
    while (true) {
      const events = this.#changes.filter((change) =>
        change.kind === kind && change.revision > Number(watched)
      ).map(({ object, deleted }) => ({ object, deleted }));
      const left = until - performance.now();
      if (events.length > 0 || left <= 0) {
        return [200, { events, storeRevision: this.#revision }];
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, left);
        this.#waiting.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }
}
