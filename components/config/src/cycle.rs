//! Cycles in graphs whose nodes are numbers.

/// A graph: for each node the nodes that its edges lead to.
pub(crate) type Edges = Vec<Vec<usize>>;

/// An edge that closes a cycle.
pub(crate) struct Closing {
    /// The nodes from the cycle's first to the one whose edge closes it.
    pub(crate) path: Vec<usize>,
    /// Which edge of the last node it is.
    pub(crate) edge: usize,
}

#[derive(Clone, Copy, PartialEq)]
enum Visit {
    New,
    OnPath,
    Done,
}

/// Each edge that closes a cycle on a walk in depth through the graph. The graph has
/// a cycle exactly if there is one.
pub(crate) fn closing_edges(edges: &Edges) -> Vec<Closing> {
    let mut visits = vec![Visit::New; edges.len()];
    let mut found = Vec::new();
    for root in 0..edges.len() {
        if visits[root] == Visit::New {
            walk(edges, root, &mut visits, &mut found);
        }
    }
    found
}

fn walk(edges: &Edges, root: usize, visits: &mut [Visit], found: &mut Vec<Closing>) {
    // Each step holds a node and its next edge; a stack of our own, as a long chain
    // of dependencies must not exhaust the thread's.
    let mut steps = vec![(root, 0)];
    visits[root] = Visit::OnPath;
    while let Some((node, edge)) = steps.last().copied() {
        let Some(&next) = edges[node].get(edge) else {
            visits[node] = Visit::Done;
            steps.pop();
            continue;
        };
        if let Some(step) = steps.last_mut() {
            step.1 += 1;
        }
        match visits[next] {
            Visit::Done => {}
            Visit::OnPath => found.push(closing(&steps, next, edge)),
            Visit::New => {
                visits[next] = Visit::OnPath;
                steps.push((next, 0));
            }
        }
    }
}

fn closing(steps: &[(usize, usize)], first: usize, edge: usize) -> Closing {
    let nodes = steps.iter().map(|&(node, _)| node);
    Closing {
        path: nodes.skip_while(|&node| node != first).collect(),
        edge,
    }
}

/// The shortest path from one node to another, both included.
pub(crate) fn path(edges: &Edges, from: usize, to: usize) -> Option<Vec<usize>> {
    let mut came_from = vec![None; edges.len()];
    let mut queue = std::collections::VecDeque::from([from]);
    while let Some(node) = queue.pop_front() {
        if node == to {
            return Some(back(&came_from, from, to));
        }
        for &next in &edges[node] {
            if next != from && came_from[next].is_none() {
                came_from[next] = Some(node);
                queue.push_back(next);
            }
        }
    }
    None
}

fn back(came_from: &[Option<usize>], from: usize, to: usize) -> Vec<usize> {
    let mut nodes = vec![to];
    let mut at = to;
    while at != from {
        let Some(before) = came_from[at] else { break };
        nodes.push(before);
        at = before;
    }
    nodes.reverse();
    nodes
}
