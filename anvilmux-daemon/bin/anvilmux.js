#!/usr/bin/env node
import "../../dist/anvilmux.js";
