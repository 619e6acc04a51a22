#!/usr/bin/env node
import '../dist/src/process/reduce-memory.js'
await import('../dist/src/main.js')
