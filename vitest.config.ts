import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: ["packages/**/*_test.ts"],
    testTimeout: 30_000,
  },
});
