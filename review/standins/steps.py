"""Batch jobs of a trainer: routes, submissions, and reads of results."""

import asyncio
import json
import time

import deployment as d

MODEL = "daka510000"
RETENTION_S = 40

SCORER = {"Name": "r-score", "Host": d.HOST, "PathPrefix": "/pufi791/", "Kind": "safe",
          "TimeoutMs": 3000, "GoalMs": 800, "Priority": 2, "Service": "wuno96b", "MaxAttempts": 4}


def rollout(name, prefix):
    return {"Name": name, "Host": d.HOST, "PathPrefix": prefix, "Kind": "rollout",
            "TimeoutMs": 10000, "GoalMs": 400, "Priority": 0, "Service": "huvo11a",
            "MaxAttempts": 3, "DueMs": 7500, "RetentionS": RETENTION_S, "Sticky": True}


def config(version, routes):
    return {
        "Version": version, "Routes": routes, "Limits": d.LIMITS,
        "Services": [
            {"Name": "huvo11a", "HealthPath": "/health", "MaxConns": 150, "Protocol": "h1",
             "Tls": False, "Engine": {"Slots": 8, "KvCapacity": 47681, "Stride": 49,
                                      "Models": [{"Name": MODEL}]}},
            {"Name": "wuno96b", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1",
             "Tls": False},
        ],
    }


def step(number, prefix, tag, groups, group_items=4):
    entries = []
    for item in range(groups * group_items):
        name = f"{tag}{item:04x}"
        entries.append({
            "Id": name, "Path": f"{prefix}{number}/{name}",
            "Headers": {"Hornbeamrock-Model": MODEL, "Hornbeamrock-Token-Usage": "271,1200",
                        "Hornbeamrock-Prompt-Prefix": f"9c2e41:255,{name}:16"},
            "Body": "q83vEjRWeJA=", "Tokens": 1471, "Group": f"g{item // group_items}",
            "Scorer": {"Id": f"5c{name}", "Host": d.HOST, "Path": f"/pufi791/{name}",
                       "Body": "3q2+7w=="},
        })
    return {"Step": number, "Model": MODEL, "MinVersion": 1, "GroupCount": groups,
            "Entries": entries}


async def submit(front, record, name, path, body):
    headers = {"Hornbeamrock-Request-Id": name, "Hornbeamrock-Deadline-Ms": "12000",
               "Content-Type": "application/json"}
    status, _, _ = await d.http_call(front.address, "POST", path, headers, json.dumps(body).encode())
    record(f"trainer: submitted {name} to {front.name}: {status}")
    return status


async def read_all(front, record, name, within):
    """Reads the results of a step until all are listed."""
    results, total, until = [], 1, time.monotonic() + within
    while len(results) < total and time.monotonic() < until:
        status, _, body = await d.http_call(
            front.address, "GET", f"/v1/lots/{name}?After={len(results)}",
            {"Hornbeamrock-Wait-Ms": "1000"})
        if status != 200:
            record(f"trainer: read of {name}: {status}")
            await asyncio.sleep(0.3)
            continue
        page = json.loads(body)
        total = page["Total"]
        for result in page["Results"]:
            results.append(result)
            events = len(result["Text"].splitlines()) if "Text" in result else 0
            record(f"trainer: {name} lists {result['Id']} as {result['State']}, {events} events, "
                   f"versions {result.get('Versions')}")
    return results


async def end(front, record, name):
    status, _, _ = await d.http_call(front.address, "DELETE", f"/v1/lots/{name}")
    record(f"trainer: ended {name}: {status}")
