import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: ["bench/**/*_bench.ts"],
    testTimeout: 600_000,
  },
});
