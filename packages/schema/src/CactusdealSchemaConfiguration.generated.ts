/* Generated from schemas/configuration.json by `npm run generate`; not edited by hand. */

/**
 * Name of a service, route, data centre, tenant, class or worker.
 */
export type Name = string;
/**
 * Urgency of a call, most urgent first.
 */
export type Rank = 'critical' | 'high' | 'normal' | 'low';
/**
 * Whether a call may run again: an idempotent call may, an atMostOnce call never.
 */
export type Effect = 'idempotent' | 'atMostOnce';
/**
 * One typed change of the configuration.
 */
export type Operation =
  SetService | RemoveService | SetRoute | RemoveRoute | SetDrain | RemoveDrain;
/**
 * What an operator asks for.
 */
export type Intent =
  SetWeightsIntent | DrainWorkerIntent | UndrainWorkerIntent | ApplyOperationsIntent | RevertIntent;

/**
 * Everything that operators decide and that every daemon holds.
 */
export interface ConfigurationSchema {
  snapshot?: Snapshot;
  logEntry?: LogEntry;
  plan?: Plan;
  intent?: Intent;
  manifest?: Manifest;
  trimMark?: TrimMark;
  shard?: Shard;
  slotHolder?: SlotHolder;
}
/**
 * The whole configuration at one version.
 */
export interface Snapshot {
  version: number;
  services: {
    [k: string]: Service;
  };
  routes: {
    [k: string]: Route;
  };
  /**
   * By worker name.
   */
  drains: {
    [k: string]: Drain;
  };
}
/**
 * A service that upstreams announce and routes lead to.
 */
export interface Service {
  tenant: Name;
  /**
   * Share of the calls for each data centre; one that is not named weighs 1, and 0 sends none.
   */
  weights: {
    [k: string]: number;
  };
  /**
   * Calls that may wait at one gate.
   */
  queueLimit: number;
}
/**
 * Leads calls to a service by method and path, and says how they are treated.
 */
export interface Route {
  service: Name;
  method: '*' | 'GET' | 'HEAD' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';
  pathPrefix: string;
  rank: Rank;
  class: Name;
  deadlineMs: number;
  effect: Effect;
  /**
   * Part of a gate's slots that no flood of another class takes away.
   */
  share: number;
  /**
   * Value of one call done in time.
   */
  worth: number;
  maxBodyBytes: number;
}
/**
 * An operator's order that one worker gets no new calls.
 */
export interface Drain {
  service: Name;
  reason: string;
}
/**
 * One accepted change, as the platform's log holds it under its version.
 */
export interface LogEntry {
  version: number;
  /**
   * Version of the snapshot that the operations apply to.
   */
  baseVersion: number;
  planId: string;
  /**
   * @minItems 0
   * @maxItems 20000
   */
  operations: Operation[];
  /**
   * SHA-256 of the resulting snapshot, in hexadecimal.
   */
  hash: string;
  operator: string;
  acceptedAtMs: number;
  /**
   * Set by a reader in place of a log value that is no entry, with the reason; such a version is rejected.
   */
  unreadable?: string;
}
export interface SetService {
  type: 'setService';
  name: Name;
  service: Service;
}
export interface RemoveService {
  type: 'removeService';
  name: Name;
}
export interface SetRoute {
  type: 'setRoute';
  name: Name;
  route: Route;
}
export interface RemoveRoute {
  type: 'removeRoute';
  name: Name;
}
export interface SetDrain {
  type: 'setDrain';
  name: Name;
  drain: Drain;
}
export interface RemoveDrain {
  type: 'removeDrain';
  name: Name;
}
/**
 * The system's answer to an intent; nothing changes before it is confirmed.
 */
export interface Plan {
  id: string;
  entry: LogEntry;
  intent: Intent;
  effects: PlanEffect[];
  warnings: string[];
}
export interface SetWeightsIntent {
  type: 'setWeights';
  service: Name;
  weights: {
    [k: string]: number;
  };
}
export interface DrainWorkerIntent {
  type: 'drainWorker';
  worker: Name;
  service: Name;
  reason: string;
}
export interface UndrainWorkerIntent {
  type: 'undrainWorker';
  worker: Name;
}
/**
 * Adds, changes or removes services and routes together.
 */
export interface ApplyOperationsIntent {
  type: 'applyOperations';
  /**
   * @minItems 1
   * @maxItems 20000
   */
  operations: Operation[];
}
/**
 * Goes back to the content of an older version, as a new and higher one.
 */
export interface RevertIntent {
  type: 'revert';
  toVersion: number;
}
/**
 * One thing that the plan changes, and whom it affects.
 */
export interface PlanEffect {
  subject: string;
  change: string;
  affects: string[];
}
/**
 * The checkpoint: whole snapshots, newest first, and the log behind the newest.
 */
export interface Manifest {
  /**
   * Version of the newest log entry that the checkpoint covers.
   */
  headVersion: number;
  /**
   * @minItems 1
   */
  generations: Generation[];
  /**
   * Log entries above the newest generation up to the head.
   */
  entries: LogEntry[];
}
/**
 * A whole snapshot in shards.
 */
export interface Generation {
  version: number;
  hash: string;
  shards: ShardReference[];
}
/**
 * Where a part of a snapshot's entries is kept in the platform.
 */
export interface ShardReference {
  key: string;
  /**
   * SHA-256 of the shard's canonical JSON, in hexadecimal.
   */
  hash: string;
  /**
   * Size of the stored value, compressed.
   */
  bytes: number;
}
/**
 * How far the log is trimmed.
 */
export interface TrimMark {
  /**
   * Log entries up to this version no longer count; stated before any of them is removed.
   */
  trimmedThrough: number;
  /**
   * Log entries up to this version have been removed.
   */
  removedThrough: number;
}
/**
 * A part of a snapshot's entries.
 */
export interface Shard {
  services: {
    [k: string]: Service;
  };
  routes: {
    [k: string]: Route;
  };
  drains: {
    [k: string]: Drain;
  };
}
/**
 * The daemon that holds a reader or roster slot by its lease.
 */
export interface SlotHolder {
  memberId: string;
  meshAddress: string;
}

/** The schema itself, for validation at run time. */
export const configurationSchema = {
  "$id": "configuration",
  "title": "ConfigurationSchema",
  "description": "Everything that operators decide and that every daemon holds.",
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "snapshot": {
      "$ref": "#/definitions/Snapshot"
    },
    "logEntry": {
      "$ref": "#/definitions/LogEntry"
    },
    "plan": {
      "$ref": "#/definitions/Plan"
    },
    "intent": {
      "$ref": "#/definitions/Intent"
    },
    "manifest": {
      "$ref": "#/definitions/Manifest"
    },
    "trimMark": {
      "$ref": "#/definitions/TrimMark"
    },
    "shard": {
      "$ref": "#/definitions/Shard"
    },
    "slotHolder": {
      "$ref": "#/definitions/SlotHolder"
    }
  },
  "definitions": {
    "Name": {
      "description": "Name of a service, route, data centre, tenant, class or worker.",
      "type": "string",
      "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"
    },
    "Rank": {
      "description": "Urgency of a call, most urgent first.",
      "enum": [
        "critical",
        "high",
        "normal",
        "low"
      ]
    },
    "Effect": {
      "description": "Whether a call may run again: an idempotent call may, an atMostOnce call never.",
      "enum": [
        "idempotent",
        "atMostOnce"
      ]
    },
    "Service": {
      "description": "A service that upstreams announce and routes lead to.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "tenant",
        "weights",
        "queueLimit"
      ],
      "properties": {
        "tenant": {
          "$ref": "#/definitions/Name"
        },
        "weights": {
          "description": "Share of the calls for each data centre; one that is not named weighs 1, and 0 sends none.",
          "type": "object",
          "additionalProperties": {
            "type": "number",
            "minimum": 0,
            "maximum": 1000
          }
        },
        "queueLimit": {
          "description": "Calls that may wait at one gate.",
          "type": "integer",
          "minimum": 0,
          "maximum": 10000
        }
      }
    },
    "Route": {
      "description": "Leads calls to a service by method and path, and says how they are treated.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "service",
        "method",
        "pathPrefix",
        "rank",
        "class",
        "deadlineMs",
        "effect",
        "share",
        "worth",
        "maxBodyBytes"
      ],
      "properties": {
        "service": {
          "$ref": "#/definitions/Name"
        },
        "method": {
          "enum": [
            "*",
            "GET",
            "HEAD",
            "POST",
            "PUT",
            "PATCH",
            "DELETE"
          ]
        },
        "pathPrefix": {
          "type": "string",
          "pattern": "^/[^\\s?#]*$",
          "maxLength": 512
        },
        "rank": {
          "$ref": "#/definitions/Rank"
        },
        "class": {
          "$ref": "#/definitions/Name"
        },
        "deadlineMs": {
          "type": "integer",
          "minimum": 1,
          "maximum": 600000
        },
        "effect": {
          "$ref": "#/definitions/Effect"
        },
        "share": {
          "description": "Part of a gate's slots that no flood of another class takes away.",
          "type": "number",
          "minimum": 0,
          "maximum": 1
        },
        "worth": {
          "description": "Value of one call done in time.",
          "type": "number",
          "minimum": 0,
          "maximum": 1000000
        },
        "maxBodyBytes": {
          "type": "integer",
          "minimum": 0,
          "maximum": 1073741824
        }
      }
    },
    "Drain": {
      "description": "An operator's order that one worker gets no new calls.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "service",
        "reason"
      ],
      "properties": {
        "service": {
          "$ref": "#/definitions/Name"
        },
        "reason": {
          "type": "string",
          "maxLength": 200
        }
      }
    },
    "Snapshot": {
      "description": "The whole configuration at one version.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "version",
        "services",
        "routes",
        "drains"
      ],
      "properties": {
        "version": {
          "type": "integer",
          "minimum": 0
        },
        "services": {
          "type": "object",
          "additionalProperties": {
            "$ref": "#/definitions/Service"
          }
        },
        "routes": {
          "type": "object",
          "additionalProperties": {
            "$ref": "#/definitions/Route"
          }
        },
        "drains": {
          "description": "By worker name.",
          "type": "object",
          "additionalProperties": {
            "$ref": "#/definitions/Drain"
          }
        }
      }
    },
    "Operation": {
      "description": "One typed change of the configuration.",
      "type": "object",
      "required": [
        "type"
      ],
      "discriminator": {
        "propertyName": "type"
      },
      "oneOf": [
        {
          "title": "SetService",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "name",
            "service"
          ],
          "properties": {
            "type": {
              "const": "setService"
            },
            "name": {
              "$ref": "#/definitions/Name"
            },
            "service": {
              "$ref": "#/definitions/Service"
            }
          }
        },
        {
          "title": "RemoveService",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "name"
          ],
          "properties": {
            "type": {
              "const": "removeService"
            },
            "name": {
              "$ref": "#/definitions/Name"
            }
          }
        },
        {
          "title": "SetRoute",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "name",
            "route"
          ],
          "properties": {
            "type": {
              "const": "setRoute"
            },
            "name": {
              "$ref": "#/definitions/Name"
            },
            "route": {
              "$ref": "#/definitions/Route"
            }
          }
        },
        {
          "title": "RemoveRoute",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "name"
          ],
          "properties": {
            "type": {
              "const": "removeRoute"
            },
            "name": {
              "$ref": "#/definitions/Name"
            }
          }
        },
        {
          "title": "SetDrain",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "name",
            "drain"
          ],
          "properties": {
            "type": {
              "const": "setDrain"
            },
            "name": {
              "$ref": "#/definitions/Name"
            },
            "drain": {
              "$ref": "#/definitions/Drain"
            }
          }
        },
        {
          "title": "RemoveDrain",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "name"
          ],
          "properties": {
            "type": {
              "const": "removeDrain"
            },
            "name": {
              "$ref": "#/definitions/Name"
            }
          }
        }
      ]
    },
    "LogEntry": {
      "description": "One accepted change, as the platform's log holds it under its version.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "version",
        "baseVersion",
        "planId",
        "operations",
        "hash",
        "operator",
        "acceptedAtMs"
      ],
      "properties": {
        "version": {
          "type": "integer",
          "minimum": 1
        },
        "baseVersion": {
          "description": "Version of the snapshot that the operations apply to.",
          "type": "integer",
          "minimum": 0
        },
        "planId": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "operations": {
          "type": "array",
          "items": {
            "$ref": "#/definitions/Operation"
          },
          "minItems": 0,
          "maxItems": 20000
        },
        "hash": {
          "description": "SHA-256 of the resulting snapshot, in hexadecimal.",
          "type": "string",
          "pattern": "^[0-9a-f]{64}$"
        },
        "operator": {
          "type": "string",
          "minLength": 1,
          "maxLength": 100
        },
        "acceptedAtMs": {
          "type": "integer",
          "minimum": 0
        },
        "unreadable": {
          "description": "Set by a reader in place of a log value that is no entry, with the reason; such a version is rejected.",
          "type": "string",
          "maxLength": 300
        }
      }
    },
    "Intent": {
      "description": "What an operator asks for.",
      "type": "object",
      "required": [
        "type"
      ],
      "discriminator": {
        "propertyName": "type"
      },
      "oneOf": [
        {
          "title": "SetWeightsIntent",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "service",
            "weights"
          ],
          "properties": {
            "type": {
              "const": "setWeights"
            },
            "service": {
              "$ref": "#/definitions/Name"
            },
            "weights": {
              "type": "object",
              "additionalProperties": {
                "type": "number",
                "minimum": 0,
                "maximum": 1000
              }
            }
          }
        },
        {
          "title": "DrainWorkerIntent",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "worker",
            "service",
            "reason"
          ],
          "properties": {
            "type": {
              "const": "drainWorker"
            },
            "worker": {
              "$ref": "#/definitions/Name"
            },
            "service": {
              "$ref": "#/definitions/Name"
            },
            "reason": {
              "type": "string",
              "maxLength": 200
            }
          }
        },
        {
          "title": "UndrainWorkerIntent",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "worker"
          ],
          "properties": {
            "type": {
              "const": "undrainWorker"
            },
            "worker": {
              "$ref": "#/definitions/Name"
            }
          }
        },
        {
          "title": "ApplyOperationsIntent",
          "description": "Adds, changes or removes services and routes together.",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "operations"
          ],
          "properties": {
            "type": {
              "const": "applyOperations"
            },
            "operations": {
              "type": "array",
              "items": {
                "$ref": "#/definitions/Operation"
              },
              "minItems": 1,
              "maxItems": 20000
            }
          }
        },
        {
          "title": "RevertIntent",
          "description": "Goes back to the content of an older version, as a new and higher one.",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "toVersion"
          ],
          "properties": {
            "type": {
              "const": "revert"
            },
            "toVersion": {
              "type": "integer",
              "minimum": 0
            }
          }
        }
      ]
    },
    "PlanEffect": {
      "description": "One thing that the plan changes, and whom it affects.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "subject",
        "change",
        "affects"
      ],
      "properties": {
        "subject": {
          "type": "string"
        },
        "change": {
          "type": "string"
        },
        "affects": {
          "type": "array",
          "items": {
            "type": "string"
          }
        }
      }
    },
    "Plan": {
      "description": "The system's answer to an intent; nothing changes before it is confirmed.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "id",
        "entry",
        "intent",
        "effects",
        "warnings"
      ],
      "properties": {
        "id": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "entry": {
          "$ref": "#/definitions/LogEntry"
        },
        "intent": {
          "$ref": "#/definitions/Intent"
        },
        "effects": {
          "type": "array",
          "items": {
            "$ref": "#/definitions/PlanEffect"
          }
        },
        "warnings": {
          "type": "array",
          "items": {
            "type": "string"
          }
        }
      }
    },
    "ShardReference": {
      "description": "Where a part of a snapshot's entries is kept in the platform.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "key",
        "hash",
        "bytes"
      ],
      "properties": {
        "key": {
          "type": "string",
          "minLength": 1,
          "maxLength": 256
        },
        "hash": {
          "description": "SHA-256 of the shard's canonical JSON, in hexadecimal.",
          "type": "string",
          "pattern": "^[0-9a-f]{64}$"
        },
        "bytes": {
          "description": "Size of the stored value, compressed.",
          "type": "integer",
          "minimum": 0
        }
      }
    },
    "Generation": {
      "description": "A whole snapshot in shards.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "version",
        "hash",
        "shards"
      ],
      "properties": {
        "version": {
          "type": "integer",
          "minimum": 0
        },
        "hash": {
          "type": "string",
          "pattern": "^[0-9a-f]{64}$"
        },
        "shards": {
          "type": "array",
          "items": {
            "$ref": "#/definitions/ShardReference"
          }
        }
      }
    },
    "Manifest": {
      "description": "The checkpoint: whole snapshots, newest first, and the log behind the newest.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "headVersion",
        "generations",
        "entries"
      ],
      "properties": {
        "headVersion": {
          "description": "Version of the newest log entry that the checkpoint covers.",
          "type": "integer",
          "minimum": 0
        },
        "generations": {
          "type": "array",
          "items": {
            "$ref": "#/definitions/Generation"
          },
          "minItems": 1
        },
        "entries": {
          "description": "Log entries above the newest generation up to the head.",
          "type": "array",
          "items": {
            "$ref": "#/definitions/LogEntry"
          }
        }
      }
    },
    "TrimMark": {
      "description": "How far the log is trimmed.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "trimmedThrough",
        "removedThrough"
      ],
      "properties": {
        "trimmedThrough": {
          "description": "Log entries up to this version no longer count; stated before any of them is removed.",
          "type": "integer",
          "minimum": 0
        },
        "removedThrough": {
          "description": "Log entries up to this version have been removed.",
          "type": "integer",
          "minimum": 0
        }
      }
    },
    "Shard": {
      "description": "A part of a snapshot's entries.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "services",
        "routes",
        "drains"
      ],
      "properties": {
        "services": {
          "type": "object",
          "additionalProperties": {
            "$ref": "#/definitions/Service"
          }
        },
        "routes": {
          "type": "object",
          "additionalProperties": {
            "$ref": "#/definitions/Route"
          }
        },
        "drains": {
          "type": "object",
          "additionalProperties": {
            "$ref": "#/definitions/Drain"
          }
        }
      }
    },
    "SlotHolder": {
      "description": "The daemon that holds a reader or roster slot by its lease.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "memberId",
        "meshAddress"
      ],
      "properties": {
        "memberId": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "meshAddress": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        }
      }
    }
  }
} as const;
